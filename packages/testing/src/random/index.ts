export {SeededRandom} from './seeded_random.js';
