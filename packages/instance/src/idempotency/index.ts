export {HomeRouter, type HomeRouterOptions} from './home_router.js';
