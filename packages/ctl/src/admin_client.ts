import {randomUUID} from 'node:crypto';
import type {TimerService} from '@primrosestage/common';
import type {ValueIssue} from '@primrosestage/control';
import {CommandError} from './command_error.js';
import {ExitCode} from './exit_code.js';
import {type RequestResult, sendRequest} from './send_request.js';

/** Maximum attempts per request; each goes to the next of the given instances. */
const MAX_ATTEMPTS = 5;
const RETRY_DELAY_MS = 500;

/** Configures the client of the administration API. */
export interface AdminClientOptions {
  /** Base URLs of administration listeners, tried in turn. */
  urls: readonly string[];
  team: string;
  token: string;
  timers: TimerService;
  /** Revision that changes are based on; the current one by default. */
  basedOn?: number;
  /** Identifier of a change that the operator retries. */
  changeId?: string;
}

/** Calls the administration API and retries requests whose outcome is unknown. */
export class AdminClient {
  constructor(private readonly options: AdminClientOptions) {}

  /** Says whether the operator retries a change, which may already have taken effect. */
  get isRetry(): boolean {
    return this.options.changeId !== undefined;
  }

  /**
   * Reads a resource.
   * @param path - Path below the team.
   * @returns The response.
   * @throws CommandError when it is refused or no instance answers.
   */
  async get(path: string): Promise<Record<string, unknown>> {
    return this.read('GET', path);
  }

  /** Checks a preset without changing anything. */
  async validate(
    name: string,
    preset: unknown,
  ): Promise<Record<string, unknown>> {
    return this.read('POST', `presets/${name}/validate`, {preset});
  }

  /**
   * Makes a change; retries it under the same identifier while its outcome is unknown.
   * @param method - HTTP method.
   * @param path - Path below the team.
   * @param fields - What is changed.
   * @returns The response to the accepted change.
   * @throws CommandError when it is refused or its outcome stays unknown.
   */
  async change(
    method: string,
    path: string,
    fields: Record<string, unknown>,
  ): Promise<Record<string, unknown>> {
    const changeId = this.options.changeId ?? randomUUID();
    const basedOn = this.options.basedOn ?? (await this.getRevision());
    const body = {...fields, basedOn, changeId};
    let isOutcomeUnknown = this.isRetry;
    let message = '';
    for (let i = 0; i < MAX_ATTEMPTS; i++) {
      if (i > 0) await this.options.timers.sleep(RETRY_DELAY_MS);
      const result = await this.send(i, method, path, body);
      message = getMessage(result);
      if (result.status === 200) return result.body;
      if (result.status === 503 && !isOutcomeUnknown)
        throw createRefusedError(result);
      // 503 rules out an effect of this attempt only; an earlier one may still take effect.
      if (result.status === 503) continue;
      if (result.status !== undefined && result.status < 500) {
        throw createRefusedError(result);
      }
      isOutcomeUnknown = true;
    }
    throw new CommandError(
      ExitCode.Unreachable,
      `the outcome is unknown: ${message}\nrepeat with --change-id ${changeId} --based-on ${basedOn}`,
    );
  }

  private async getRevision(): Promise<number> {
    return (await this.get('presets')).revision as number;
  }

  private async read(
    method: string,
    path: string,
    body?: unknown,
  ): Promise<Record<string, unknown>> {
    let message = '';
    for (let i = 0; i < MAX_ATTEMPTS; i++) {
      if (i > 0) await this.options.timers.sleep(RETRY_DELAY_MS);
      const result = await this.send(i, method, path, body);
      if (result.status === 200) return result.body;
      if (result.status !== undefined && result.status < 500) {
        throw createRefusedError(result);
      }
      message = getMessage(result);
    }
    throw new CommandError(ExitCode.Unreachable, message);
  }

  private send(
    attempt: number,
    method: string,
    path: string,
    body?: unknown,
  ): Promise<RequestResult> {
    const {urls, team, token} = this.options;
    const base = urls[attempt % urls.length]!.replace(/\/$/, '');
    const url = `${base}/admin/v1/teams/${encodeURIComponent(team)}/${path}`;
    return sendRequest({method, url, token, body});
  }
}

function getMessage(result: RequestResult): string {
  if (result.status === undefined) return result.message;
  return `${result.status} ${String(result.body.message ?? '')}`.trim();
}

function createRefusedError(result: RequestResult): CommandError {
  const issues =
    result.status === undefined
      ? []
      : ((result.body.issues ?? []) as ValueIssue[]);
  const lines = issues.map(formatIssue);
  return new CommandError(
    ExitCode.Refused,
    [`refused: ${getMessage(result)}`, ...lines].join('\n'),
  );
}

/** Formats an issue of a preset. */
export function formatIssue({key, value, expected}: ValueIssue): string {
  return `${key}: found ${value}, expected ${expected}`;
}
