export {DisposalStack} from './disposal_stack.js';
