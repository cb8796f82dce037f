export {LinkBudget, type LinkBudgetOptions, LinkUse} from './link_budget.js';
export {TokenBucket, type TokenBucketOptions} from './token_bucket.js';
