export {RetryLimiter, type RetryLimiterOptions} from './retry_limiter.js';
