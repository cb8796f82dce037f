import type {AdminClient} from '../admin_client.js';

/** Holds what a command needs besides its arguments. */
export interface CommandContext {
  client: AdminClient;
  /** Path of a preset in TOML or JSON. */
  file?: string;
  /** Name of the preset to copy. */
  from?: string;
  /** Texts as key=value. */
  assignments: string[];
}

/** Holds the output of a command. */
export interface CommandOutput {
  /** Printed with `--json`. */
  json: unknown;
  /** Printed without `--json`. */
  text: string;
  /** Exit code; 0 by default. */
  exitCode?: number;
}
