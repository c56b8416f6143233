/**
 * Builds the gateway as two files, so that the first of them is read at once (`platform/main.ts`).
 *
 *   node scripts/build-gateway.mjs FOLDER
 *
 * Deployment, soak and tests all build it here: they run the same program.
 */
import { build } from 'esbuild';

const [folder = 'target'] = process.argv.slice(2);

await build({
  entryPoints: {
    'scaleslip-gateway': 'platform/main.ts',
    'scaleslip-gateway-program': 'platform/gateway-program.ts',
  },
  outdir: folder,
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  minifyWhitespace: true,
  logLevel: 'warning',
});
