export {type Block, BlockTable, type ParsedBlock} from './block_table.js';
export {parseAddressWords, parsePrefix, type Prefix} from './prefix.js';
export {PrefixList} from './prefix_list.js';
export {PrefixTable} from './prefix_table.js';
