import { afterEach, describe, expect, it } from 'vitest';
import { HttpClient } from '../../src/common/http-client.js';
import { sleep } from '../../src/common/process.js';
import { ObjectStoreStandIn } from './object-store-stand-in.js';
import { SeededRandom } from './seeded-random.js';

const PATH = '/-/objects/config/main';

describe('the stand-in for the store', () => {
  const stores: ObjectStoreStandIn[] = [];
  const clients: HttpClient[] = [];

  afterEach(() => {
    for (const client of clients.splice(0)) client.close();
    for (const store of stores.splice(0)) store.stop();
  });

  function startStore(): ObjectStoreStandIn {
    const store = new ObjectStoreStandIn(new SeededRandom(1));
    stores.push(store);
    store.put('config', 'main', { version: 1 });
    return store;
  }

  /** Returns a function that sends a request on one connection and returns the status; 0 without a response. */
  function callerAt(address: string, path = PATH): () => Promise<number> {
    const client = new HttpClient();
    clients.push(client);
    return async () => {
      const response = await client.send({ method: 'GET', address, path, timeoutMs: 200 });
      return response.isOk ? response.value.status : 0;
    };
  }

  it('drops the response to a watch that was pending when an outage began', async () => {
    const store = startStore();
    const watch = callerAt(await store.listenFor('a'), '/-/objects/config?watch=1&waitMs=9000');
    const response = watch();
    await sleep(50);
    store.condition = 'silent';
    store.put('config', 'main', { version: 2 });
    expect(await response).toBe(0);
    store.condition = 'sound';
    expect(await watch()).toBe(200);
  });

  it('rejects some callers and serves the others', async () => {
    const store = startStore();
    const [served, refused] = [await store.listenFor('a'), await store.listenFor('b')];
    store.callerConditions.set('b', 'throttled');
    expect(await callerAt(served)()).toBe(200);
    expect(await callerAt(refused)()).toBe(429);
  });

  it('sends nothing on silenced connections, and responds on new ones', async () => {
    const store = startStore();
    const address = await store.listenFor('a');
    const first = callerAt(address);
    expect(await first()).toBe(200);
    store.connections.silence(1, new SeededRandom(1));
    expect(await first()).toBe(0);
    expect(await callerAt(address)()).toBe(200);
  });
});
