export {fetchText, type TextAnswer} from './fetch_text.js';
