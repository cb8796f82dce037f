export {
  type ConfigurationFinding,
  FindingCode,
  FindingSeverity,
} from './configuration_finding.js';
export {FindingList, type FindingPlace} from './finding_list.js';
export {
  DEFAULT_REQUEST_CAPACITY,
  type RequestCapacity,
} from './check_limits.js';
export {
  findConfigurationIssues,
  type ConfigurationCheckOptions,
} from './find_configuration_issues.js';
export {compareConfigurations} from './compare_configurations.js';
export {formatFieldValue} from './format_field_value.js';
export {formatFindings, hasIssues} from './format_findings.js';
