import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  getErrorMessage,
  type Logger,
  Step,
  StepError,
  type TimerService,
} from '@primrosestage/common';
import {
  checkPreset,
  diffPresets,
  type TeamDocument,
} from '@primrosestage/control';
import type {InstanceInfo, Topology} from '@primrosestage/steering';
import type {ConfigurationTask} from '../configuration/index.js';
import {sendJson} from '../http/index.js';
import {type AdminResponse, createChangeResponse} from './admin_response.js';
import {Access, authorize, type TeamTokens} from './authorize.js';
import {createAdminRouter} from './create_admin_router.js';
import {gatherStatus} from './gather_status.js';
import type {
  HeadroomReport,
  InstanceStatus,
  ShareReport,
} from './instance_status.js';
import {
  parseActivate,
  parseDrain,
  type ParsedChange,
  parsePutPreset,
} from './parse_change.js';
import {readJsonBody} from './read_json_body.js';
import {summarizeStatus} from './team_status.js';

/** Path prefix of the administration API. */
export const ADMIN_PATH = '/admin/v1/teams/';

/** Configures the administration API. */
export interface AdminTaskOptions {
  self: InstanceInfo;
  topology: Topology;
  teams: readonly TeamTokens[];
  configuration: ConfigurationTask;
  timers: TimerService;
  logger: Logger;
  /** Returns whether this instance accepts requests. */
  isReady(): boolean;
  /** Gets the traffic shares in force at this instance. */
  getShares(team: string): ShareReport[];
  /** Gets the free slots known to this instance, by service and region. */
  getHeadroom(team: string): HeadroomReport[];
  /** Fetches the status of another instance; rejects if it does not respond. */
  fetchStatus(instance: InstanceInfo, team: string): Promise<InstanceStatus>;
}

/** Serves the administration API. */
export class AdminTask {
  constructor(private readonly options: AdminTaskOptions) {}

  /** Creates the router of the RPC calls that other instances make. */
  createRouter() {
    return createAdminRouter(team => this.getOwnStatus(team));
  }

  /**
   * Handles a request under `ADMIN_PATH`.
   * @param req - The request.
   * @param res - Its response.
   */
  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const {self, teams, logger} = this.options;
    const {pathname} = new URL(req.url ?? '/', 'http://instance');
    const [team = '', ...path] = pathname.slice(ADMIN_PATH.length).split('/');
    let response: AdminResponse;
    try {
      const access = authorize(req.headers.authorization, team, teams);
      response =
        access === Access.Granted
          ? await this.route(team, req, path)
          : createErrorResponse(
              access === Access.Forbidden ? 403 : 401,
              access === Access.Forbidden
                ? 'the token belongs to another team'
                : 'a bearer token of the team is required',
            );
    } catch (err) {
      logger.warn('administration request failed', {
        path: pathname,
        message: getErrorMessage(err),
      });
      const isBodyError = err instanceof StepError && err.step === Step.Admin;
      response = createErrorResponse(
        isBodyError ? 400 : 500,
        getErrorMessage(err),
      );
    }
    if (response.status === 401) res.setHeader('www-authenticate', 'Bearer');
    const origin =
      response.status < 300 ? {} : {step: Step.Admin, peer: self.id};
    sendJson(res, response.status, {...origin, ...(response.body as object)});
  }

  private async route(
    team: string,
    req: IncomingMessage,
    path: string[],
  ): Promise<AdminResponse> {
    const {topology} = this.options;
    const document = this.options.configuration.getDocument(team);
    const [resource, name = '', operation, otherName = ''] = path;
    const isPreset = resource === 'presets' && name !== '';
    switch (`${req.method} ${resource}/${path.length}`) {
      case 'GET presets/1':
        return document ? listPresets(document) : NO_DOCUMENT_RESPONSE;
      case 'GET presets/2':
        return document ? showPreset(document, name) : NO_DOCUMENT_RESPONSE;
      case 'GET presets/4':
        if (operation !== 'diff') break;
        return document
          ? diffNamedPresets(document, name, otherName)
          : NO_DOCUMENT_RESPONSE;
      case 'GET status/1':
        return this.gatherStatus(team);
      case 'PUT presets/2':
        if (!isPreset) break;
        return this.change(
          team,
          parsePutPreset(await readJsonBody(req), name, team, topology),
        );
      case 'POST presets/3': {
        if (!isPreset || operation !== 'validate') break;
        const body = (await readJsonBody(req)) as {preset?: unknown} | null;
        const {issues} = checkPreset(body?.preset, team, topology);
        return {status: 200, body: {isValid: issues.length === 0, issues}};
      }
      case 'POST active/1':
        return this.change(team, parseActivate(await readJsonBody(req)));
      case 'POST drains/1':
        return this.change(team, parseDrain(await readJsonBody(req)));
    }
    return createErrorResponse(
      404,
      `unknown resource: ${req.method} ${path.join('/')}`,
    );
  }

  private async change(
    team: string,
    {change, issues}: ParsedChange,
  ): Promise<AdminResponse> {
    if (!change) {
      const message = `${issues.length} issues`;
      return {status: 400, body: {outcome: 'invalid', issues, message}};
    }
    const {configuration, logger} = this.options;
    const result = await configuration.commit(team, change);
    const {changeId, basedOn, action} = change;
    logger.info('change', {
      team,
      changeId,
      basedOn,
      kind: action.kind,
      outcome: result.outcome,
      revision: result.revision,
    });
    return createChangeResponse(changeId, result);
  }

  private async gatherStatus(team: string): Promise<AdminResponse> {
    const {self, topology, timers, fetchStatus} = this.options;
    const reports = await gatherStatus({
      self,
      instances: topology.instances,
      timers,
      getOwnStatus: () => this.getOwnStatus(team),
      fetchStatus: instance => fetchStatus(instance, team),
    });
    return {status: 200, body: summarizeStatus(team, reports)};
  }

  private getOwnStatus(team: string): InstanceStatus {
    const {configuration, isReady, getShares, getHeadroom} = this.options;
    const status = configuration.getStatus(team);
    return {
      isReady: isReady(),
      configuration: status ? {...status, drains: [...status.drains]} : null,
      shares: getShares(team),
      headroom: getHeadroom(team),
    };
  }
}

const NO_DOCUMENT_RESPONSE = createErrorResponse(
  503,
  'the team document is not loaded yet',
);

function createErrorResponse(status: number, message: string): AdminResponse {
  return {status, body: {message}};
}

function listPresets({revision, active, presets}: TeamDocument): AdminResponse {
  const names = Object.keys(presets).sort();
  return {status: 200, body: {revision, active, presets: names}};
}

function showPreset(document: TeamDocument, name: string): AdminResponse {
  const {revision, active, presets} = document;
  if (!Object.hasOwn(presets, name)) {
    return createErrorResponse(404, `no preset ${name}`);
  }
  const isActive = name === active;
  return {
    status: 200,
    body: {revision, name, isActive, preset: presets[name]},
  };
}

function diffNamedPresets(
  {revision, presets}: TeamDocument,
  from: string,
  to: string,
): AdminResponse {
  const missing = [from, to].find(name => !Object.hasOwn(presets, name));
  if (missing !== undefined)
    return createErrorResponse(404, `no preset ${missing}`);
  const differences = diffPresets(presets[from]!, presets[to]!);
  return {status: 200, body: {revision, from, to, differences}};
}
