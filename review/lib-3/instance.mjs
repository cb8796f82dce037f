import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {URL} from 'node:url';
import {setTimeout} from 'node:timers';
import {spawn} from 'node:child_process';
import {createWriteStream, writeFileSync} from 'node:fs';
import {connect, createServer} from 'node:net';
import {join} from 'node:path';

/** The repository's root, in which the platform starts the program. */
const ROOT = new URL('../..', import.meta.url).pathname;
/** The words of the deploy file's `run` line. */
const RUN = [
  '--max-old-space-size=160',
  '--max-semi-space-size=4',
  'target/primrosestage.mjs',
];

/** An instance of the project, started as the deploy file says. */
export class Instance {
  /**
   * Starts the program.
   * @param {object} options - `name`, `host` (a loopback address of its own), `zone`, `zones` (region of
   *   each zone), `bounds`, `store` (address), `folder` for its settings and log, and `record`;
   *   `memoryMb` and `maxFds` of its machine.
   */
  static async start(options) {
    const instance = new Instance();
    instance.options = options;
    const [front, ready, control, directory, internal] = await findPorts(
      options.host,
      5,
    );
    const {host} = options;
    instance.front = {host, port: front};
    instance.directory = {host, port: directory};
    instance.ready = {host, port: ready};
    instance.control = `${host}:${control}`;
    instance.settings = join(options.folder, `${options.name}.toml`);
    writeFileSync(
      instance.settings,
      formatSettings(options, {front, ready, control, directory, internal}),
    );
    instance.spawn();
    return instance;
  }

  /** Starts the process. */
  spawn() {
    const {name, folder, record} = this.options;
    const child = spawn('node', RUN, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG,
        PRIMROSESTAGE_BOOT: this.settings,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(join(folder, `${name}.log`), {flags: 'a'});
    child.stdout.pipe(log, {end: false});
    child.stderr.pipe(log, {end: false});
    this.child = child;
    this.ended = new Promise(resolve =>
      child.on('exit', (code, signal) => {
        record(`instance ${name} ended`, {code, signal});
        resolve({code, signal});
      }),
    );
    record(`instance ${name} started`, {pid: child.pid});
  }

  /** Waits until the instance takes requests. */
  async waitUntilServing(timeoutMs = 15_000) {
    const until = performance.now() + timeoutMs;
    while (performance.now() < until) {
      if (await canConnect(this.front)) return true;
      await new Promise(resolve => setTimeout(resolve, 50));
    }
    return false;
  }

  /** Sends a signal to the process. */
  signal(name) {
    this.options.record(`${name} to instance ${this.options.name}`, {});
    this.child.kill(name);
  }

  /** Ends the process. */
  async stop() {
    if (this.child.exitCode === null && this.child.signalCode === null) {
      this.child.kill('SIGKILL');
    }
    await this.ended;
  }
}

async function findPorts(host, count) {
  const servers = [];
  for (let i = 0; i < count; i++) {
    const server = createServer();
    await new Promise(resolve => server.listen(0, host, resolve));
    servers.push(server);
  }
  const ports = servers.map(server => server.address().port);
  await Promise.all(
    servers.map(server => new Promise(resolve => server.close(resolve))),
  );
  return ports;
}

function canConnect(address) {
  return new Promise(resolve => {
    const socket = connect(address);
    socket.on('connect', () => resolve(true));
    socket.on('error', () => resolve(false));
    socket.on('connect', () => socket.destroy());
  });
}

function formatSettings(options, ports) {
  const {name, host, zone, zones, bounds, store, seeds = []} = options;
  const {memoryMb = 610, maxFds = 8_200} = options;
  const quote = JSON.stringify;
  const table = fields =>
    Object.entries(fields).map(([key, value]) => `${key} = ${quote(value)}`);
  return [
    `node-name = ${quote(name)}`,
    'role = "steer"',
    'machine-class = "front"',
    'serves = ["front","directory","control"]',
    `bind-ip = ${quote(host)}`,
    `zone = ${quote(zone)}`,
    `region = ${quote(zones[zone])}`,
    `internal-ports = [${ports.internal},${ports.internal}]`,
    `seed-addrs = ${quote([`${host}:${ports.control}`, ...seeds])}`,
    'bootstrap = true',
    'discovery = "platform"',
    'entry = "directory"',
    'beat-s = 1.5',
    '[zones]',
    ...table(zones),
    '[listen]',
    ...table({
      front: `${host}:${ports.front}`,
      ready: `${host}:${ports.ready}`,
      control: `${host}:${ports.control}`,
      directory: `${host}:${ports.directory}`,
    }),
    '[limits]',
    ...table({
      'cpu-share': 0.54,
      cores: 2,
      'memory-mb': memoryMb,
      'max-fds': maxFds,
      'link-mbps': 2000,
      'disk-mb': 0,
    }),
    '[tolerate]',
    ...table({machines: 1, zones: 1, regions: 1}),
    '[bounds]',
    ...table(bounds),
    '[platform]',
    ...table({
      addr: store,
      form: 'kv',
      'writes-per-s': 400,
      'reads-per-s': 2000,
      'history-s': 20,
      'value-bytes': 1_048_576,
      'min-ttl-s': 1,
    }),
    '',
  ].join('\n');
}
