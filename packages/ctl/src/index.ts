/** Runs the `primrosectl` command line. */
export async function main(argv: string[]): Promise<void> {
  process.stdout.write(`primrosectl ${argv.slice(2).join(' ')}\n`);
}
