/**
 * Loaded before a program under test (`node --import`): holds back the command line's parser, the first package that
 * the program needs, or the module named by `LOADING_STALLS_AT`, until the file in `LOADING_MAY_CONTINUE` exists. Says on standard
 * error when it holds it back.
 */
import { register } from 'node:module';

register('./stalled-loading-hooks.mjs', import.meta.url);
