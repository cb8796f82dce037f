export {convertSchemaIssues} from './convert_schema_issues.js';
export {describeValue} from './describe_value.js';
export type {ValueIssue} from './value_issue.js';
