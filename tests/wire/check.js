// Checks the external processor with a third-party client: @grpc/grpc-js, with the published .proto files that come
// with @grpc/grpc-js-xds. The client side uses no code or message definitions of this project.
'use strict';
const assert = require('assert');
const child_process = require('child_process');
const fs = require('fs');
const os = require('os');
const path = require('path');
const grpc = require('@grpc/grpc-js');
const loader = require('@grpc/proto-loader');

const program = process.argv[2];
const deps = path.join(path.dirname(require.resolve('@grpc/grpc-js-xds/package.json')), 'deps');
const definition = loader.loadSync('envoy/service/ext_proc/v3/external_processor.proto', {
  includeDirs: ['envoy-api', 'xds', 'googleapis', 'protoc-gen-validate'].map((d) => path.join(deps, d)),
  keepCase: true, longs: Number, enums: String, oneofs: true, defaults: false,
});
const { ExternalProcessor } = grpc.loadPackageDefinition(definition).envoy.service.ext_proc.v3;

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'cometfold-wire-'));
const host = (uid, port) => ({ uid, endpoint: `127.0.0.1:${port}`, az: 'a', model: 'm', pod_group: 0,
  state: 'active', capacity_hint: 1.0, boot_ms: 0 });
const config = {
  name: 'n0', listen: '127.0.0.1:0', discovery: '127.0.0.1:9', seed: '8c1f30d27a5be964',
  limits: { cores: 1.0, memory_mb: 192, sockets: 512 },
  known: { rev: 7, all: true, targets: [host('s-1', 9101), host('s-2', 9102)] },
  settings: {
    az: 0, granularity_ms: 4.0, siblings: 1, zones: ['a'], host_types: ['m'],
    lanes: [
      { name: 'lookup', semantics: 'safe', slo_ms: 2000.0, deadline_ms: 6000.0, worth: 1.0 },
      { name: 'pay', semantics: 'unsafe', slo_ms: 2000.0, deadline_ms: 6000.0, worth: 1.0 }],
    packages: [
      { name: 'team', quota_rate: 100000.0, burst: 100000.0, pays: 1.0, overrun_cost: 1.0, beyond_earns: 0.0,
        hard_rate: 0.0, hard_burst: 0.0, ceiling_slack: 0.0, concurrency: 0 },
      { name: 'tiny', quota_rate: 1.0, burst: 1.0, pays: 1.0, overrun_cost: 1.0, beyond_earns: 0.0,
        hard_rate: 1.0, hard_burst: 1.0, ceiling_slack: 0.0, concurrency: 0 }],
    ceilings: { second_copies: false, cancel: true, retry_after: true, max_attempts: 4, max_open: 10000,
      max_retry_after_ms: 1000.0, conn_idle_ms: 60000.0, connect_timeout_ms: 60000.0 },
    load_report: { fields: ['depth'], how: 'inline' },
    rules: { cold_from: 0.2, warm_after_ms: 10000.0, overload_factor: 2.0, fall_ms: 1000.0 },
    family_info: { units_top: 4 },
  },
};
const settings_text = `[extproc]
listen = "127.0.0.1:0"
repeats = "marked"
[extproc.request]
default_plan = "team"
default_customer = "everybody"
[[extproc.rule]]
method = "GET"
path = "/items/*"
class = "lookup"
`;
const config_path = path.join(folder, 'config.json');
const settings_path = path.join(folder, 'own.toml');
fs.writeFileSync(config_path, JSON.stringify(config));
fs.writeFileSync(settings_path, settings_text);

function start() {
  const running = child_process.spawn(program, ['--settings', settings_path], {
    env: { EDGE_NAME: 'n0', EDGE_LISTEN: '127.0.0.1:0', EDGE_DISCOVERY: '127.0.0.1:9', EDGE_CONFIG: config_path },
    stdio: ['ignore', 'ignore', 'pipe'],
  });
  return new Promise((resolve, reject) => {
    let log = '', port = 0;
    running.stderr.on('data', (text) => {
      log += text;
      const at = /external processor is listening: 127\.0\.0\.1:(\d+)/.exec(log);
      if (at) port = Number(at[1]);
      if (port && log.includes('ready: n0')) resolve({ running, port, log: () => log });
    });
    running.on('exit', (code) => reject(new Error(`the program ended with ${code}: ${log}`)));
  });
}

const header_map = (headers) => ({ headers: Object.entries(headers).map(([key, value]) =>
  ({ key, raw_value: Buffer.from(value) })) });

// One ext_proc call, with the messages that it received.
class Call {
  constructor(client) {
    this.stream = client.Process();
    this.received = [];
    this.waiting = [];
    this.status = new Promise((resolve) => this.stream.on('status', resolve));
    this.stream.on('error', () => {});
    this.stream.on('data',
      (message) => (this.waiting.length ? this.waiting.shift()(message) : this.received.push(message)));
  }
  next() {
    return this.received.length ? Promise.resolve(this.received.shift())
      : new Promise((resolve) => this.waiting.push(resolve));
  }
  send_request_headers(headers, extra = {}) {
    this.stream.write({ request_headers: { headers: header_map(headers), end_of_stream: true }, ...extra });
    return this.next();
  }
  send_response_headers(headers, attributes) {
    const fields = {};
    for (const [name, value] of Object.entries(attributes || {})) fields[name] = { stringValue: value };
    this.stream.write({ response_headers: { headers: header_map(headers), end_of_stream: false },
      attributes: attributes ? { 'envoy.filters.http.ext_proc': { fields } } : {} });
    return this.next();
  }
}
const set_headers = (mutation) => Object.fromEntries(mutation.set_headers.map((h) => {
  assert.strictEqual(h.append_action, 'OVERWRITE_IF_EXISTS_OR_ADD');
  return [h.header.key, h.header.raw_value.toString()];
}));
const get = (extra) => ({ ':method': 'GET', ':path': '/items/1', ':scheme': 'http', ':authority': 'shop', ...extra });

async function main() {
  const gateway = await start();
  const client = new ExternalProcessor(`127.0.0.1:${gateway.port}`, grpc.credentials.createInsecure());
  let checks = 0;
  const passed = (name) => { ++checks; console.log(`ok ${name}`); };

  {  // the normal course: a host is chosen; then response headers, body and trailers
    const call = new Call(client);
    const decision = await call.send_request_headers(get({ 'x-request-id': 'a' }));
    assert.strictEqual(decision.response, 'request_headers');
    const set = set_headers(decision.request_headers.response.header_mutation);
    const endpoint = set['x-gateway-destination-endpoint'];
    assert.match(endpoint, /^127\.0\.0\.1:910[12]$/);
    assert.strictEqual(set['x-envoy-original-dst-host'], endpoint);
    const left = Number(set['x-envoy-upstream-rq-timeout-ms']);
    assert.ok(left > 1000 && left <= 6000, String(left));
    const lb = decision.dynamic_metadata.fields['envoy.lb'].structValue.fields;
    assert.strictEqual(lb['x-gateway-destination-endpoint'].stringValue, endpoint);
    assert.strictEqual(decision.mode_override.response_header_mode, 'SEND');
    assert.strictEqual(decision.mode_override.request_trailer_mode, 'SKIP');
    const seen = await call.send_response_headers({ ':status': '200', 'endpoint-load-metrics': 'TEXT cpu_utilization=0.5' },
      { 'response.code_details': 'via_upstream' });
    assert.strictEqual(seen.response, 'response_headers');
    call.stream.write({ response_body: { body: Buffer.from('x'), end_of_stream: false } });
    assert.strictEqual((await call.next()).response, 'response_body');
    call.stream.write({ response_trailers: { trailers: header_map({ t: 'v' }) } });
    assert.strictEqual((await call.next()).response, 'response_trailers');
    call.stream.end();
    assert.strictEqual((await call.status).code, grpc.status.OK);
    passed('a host is chosen, and all parts of the response are acknowledged');
  }
  {  // rejected requests, of HTTP and of gRPC clients
    const refusals = [];
    for (let i = 0; i < 8; ++i) {
      const call = new Call(client);
      const headers = get({ 'x-cometfold-plan': 'tiny', 'x-cometfold-customer': 'small' });
      if (i % 2) headers['content-type'] = 'application/grpc';
      const message = await call.send_request_headers(headers);
      if (message.response === 'immediate_response') {
        assert.strictEqual((await call.status).code, grpc.status.OK);
        refusals.push([i % 2, message.immediate_response]);
      } else {
        call.stream.end();
      }
    }
    for (const [is_grpc, refusal] of refusals) {
      assert.strictEqual(refusal.status.code, 'TooManyRequests');
      const set = set_headers(refusal.headers);
      assert.ok(Number(set['retry-after']) >= 1 && Number(set['retry-after-ms']) >= 1);
      assert.strictEqual(refusal.details, 'cometfold_refused');
      if (is_grpc) assert.strictEqual(refusal.grpc_status.status, 8);
      else assert.ok(!refusal.grpc_status);
    }
    assert.ok(refusals.some(([g]) => g) && refusals.some(([g]) => !g));
    passed('rejections name a retry delay');
  }
  {  // an unsafe request that failed is not sent again
    const headers = get({ 'x-request-id': 'once', 'x-cometfold-class': 'pay' });
    const first = new Call(client);
    const decision = await first.send_request_headers(headers);
    assert.strictEqual(set_headers(decision.request_headers.response.header_mutation)['x-envoy-max-retries'], '0');
    await first.send_response_headers({ ':status': '500' });
    const again = new Call(client);
    const answer = await again.send_request_headers({ ...headers, 'x-envoy-attempt-count': '2' });
    assert.strictEqual(answer.immediate_response.status.code, 'ServiceUnavailable');
    const grpc_again = new Call(client);
    const grpc_answer = await grpc_again.send_request_headers(
      { ...headers, 'x-envoy-attempt-count': '3', 'content-type': 'application/grpc' });
    assert.strictEqual(grpc_answer.immediate_response.grpc_status.status, grpc.status.UNAVAILABLE);
    first.stream.end();
    passed('an unsafe request gets one host only');
  }
  {  // a safe request may be retried
    const headers = get({ 'x-request-id': 'twice' });
    const first = new Call(client);
    const first_headers = set_headers((await first.send_request_headers(headers)).request_headers.response.header_mutation);
    await first.send_response_headers({ ':status': '503' },
      { 'response.code_details': 'upstream_reset_before_response_started{connection_failure}' });
    const again = new Call(client);
    const decision = await again.send_request_headers({ ...headers, 'x-envoy-attempt-count': '2' });
    const second_headers = set_headers(decision.request_headers.response.header_mutation);
    assert.notStrictEqual(second_headers['x-gateway-destination-endpoint'],
      first_headers['x-gateway-destination-endpoint']);
    await again.send_response_headers({ ':status': '200' });
    first.stream.end();
    again.stream.end();
    passed('a retry of a safe request gets another host');
  }
  {  // invalid requests
    const call = new Call(client);
    const answer = await call.send_request_headers({ ':method': 'GET', ':path': '/nowhere' });
    assert.strictEqual(answer.immediate_response.status.code, 'BadRequest');
    assert.match(answer.immediate_response.body.toString(), /^no class is named: /);
    const late = new Call(client);
    const timed = await late.send_request_headers(get({ 'x-cometfold-deadline-ms': '5' }));
    assert.strictEqual(timed.response, 'immediate_response');
    const twice = new Call(client);
    await twice.send_request_headers(get());
    twice.stream.write({ request_headers: { headers: header_map(get()) } });
    assert.strictEqual((await twice.status).code, grpc.status.INVALID_ARGUMENT);
    passed('invalid requests are answered with an error');
  }
  {  // an unknown method, and a cancelled call
    await new Promise((resolve) => client.makeUnaryRequest('/envoy.service.ext_proc.v3.ExternalProcessor/Other',
      (b) => b, (b) => b, Buffer.alloc(0), (error) => {
        assert.strictEqual(error.code, grpc.status.UNIMPLEMENTED);
        resolve();
      }));
    const call = new Call(client);
    await call.send_request_headers(get());
    call.stream.cancel();
    assert.strictEqual((await call.status).code, grpc.status.CANCELLED);
    passed('unknown methods and cancelled calls end with the right status');
  }
  {  // shutdown: open calls may finish
    const call = new Call(client);
    await call.send_request_headers(get());
    const exit = new Promise((resolve) => gateway.running.removeAllListeners('exit').on('exit', resolve));
    gateway.running.kill('SIGTERM');
    await new Promise((resolve) => setTimeout(resolve, 700));
    assert.strictEqual((await call.send_response_headers({ ':status': '200' })).response, 'response_headers');
    call.stream.end();
    assert.strictEqual((await call.status).code, grpc.status.OK);
    client.close();
    assert.strictEqual(await exit, 0);
    assert.match(gateway.log(), /external processor totals: asked=\d+ again=3 /);
    passed('open calls finish after SIGTERM');
  }
  assert.strictEqual(checks, 7);
}

main().then(() => {
  fs.rmSync(folder, { recursive: true });
  process.exit(0);
}, (error) => {
  console.error(error);
  process.exit(1);
});
