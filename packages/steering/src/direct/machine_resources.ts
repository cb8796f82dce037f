/** Resources of the machine that one process may use. */
export interface MachineResources {
  /** Memory at which the process is killed, in bytes. */
  memoryBytes: number;
  /** Most descriptors of files and sockets. */
  maxDescriptors: number;
  /** Processing capacity in cores; undefined if it is not known. */
  cores?: number;
}
