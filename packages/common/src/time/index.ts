export {RealTimerService} from './real_timer_service.js';
export type {TimerService} from './timer_service.js';
export {VirtualTimerService} from './virtual_timer_service.js';
