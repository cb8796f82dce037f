export {Child, type ChildOptions} from './child.js';
export {RecordBatch} from './record_batch.js';
export {serveCommands, type CommandHandlers} from './serve_commands.js';
