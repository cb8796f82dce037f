import {getRequestTerms} from '../account_table.js';
import type {ClientAccount} from '../client_account.js';
import type {RouteConfiguration} from '../route.js';
import {checkNames} from './check_names.js';
import {checkNumber, checkWholeNumber} from './check_number.js';
import {FindingCode} from './configuration_finding.js';
import type {FindingList} from './finding_list.js';
import {formatFieldValue} from './format_field_value.js';

/** Text that arrives unchanged as a header value; outer spaces are removed in transit. */
const HEADER_VALUE = /^[!-~]([ -~]*[!-~])?$/;
/** Node.js joins the values of a repeated header with this text. */
const HEADER_SEPARATOR = ', ';

/**
 * Reports faults of accounts, and accounts of which no request can run.
 * @param list - Receives the findings.
 * @param configuration - The configuration.
 */
export function checkAccounts(
  list: FindingList,
  configuration: RouteConfiguration,
): void {
  const accounts = configuration.accounts ?? [];
  checkNames(
    list,
    'accounts',
    accounts.map(({name}) => name),
  );
  const holders = new Map<string, ClientAccount>();
  for (const account of accounts) {
    checkName(list, account);
    checkKeys(list, account, holders);
    checkQuota(list, account);
    checkRegions(list, account, configuration);
  }
}

function checkName(list: FindingList, {name}: ClientAccount): void {
  if (HEADER_VALUE.test(name)) return;
  list.addError(
    FindingCode.NoHeaderValue,
    {table: 'accounts', name, field: 'name'},
    formatFieldValue('name', name),
    'visible ASCII characters, with spaces only between them',
  );
}

/** Reports faults of keys, which are named by their position only. */
function checkKeys(
  list: FindingList,
  account: ClientAccount,
  holders: Map<string, ClientAccount>,
): void {
  const {name, keys} = account;
  const place = {table: 'accounts', name, field: 'keys'};
  if (keys.length === 0) {
    list.addError(FindingCode.NoKeys, place, 'no keys', 'at least one key');
  }
  keys.forEach((key, i) => {
    const position = `key ${i + 1} of ${keys.length}`;
    if (!HEADER_VALUE.test(key) || key.includes(HEADER_SEPARATOR)) {
      list.addError(
        FindingCode.NoHeaderValue,
        place,
        position,
        'visible ASCII characters, with spaces only between them and not after a comma',
      );
    }
    const holder = holders.get(key);
    if (!holder) holders.set(key, account);
    else if (holder !== account) {
      list.addError(
        FindingCode.SharedKey,
        place,
        position,
        `a key that ${list.formatPlace({table: 'accounts', name: holder.name})} does not have`,
      );
    }
  });
}

function checkQuota(list: FindingList, account: ClientAccount): void {
  const {name, priority, ratePerSecond, burst} = account;
  const getPlace = (field: string) => ({table: 'accounts', name, field});
  if (priority !== undefined) {
    checkWholeNumber(list, getPlace('priority'), priority);
  }
  checkNumber(list, getPlace('ratePerSecond'), ratePerSecond);
  checkNumber(list, getPlace('burst'), burst);
  if (ratePerSecond === 0 && burst > 0) {
    list.addWarning(
      FindingCode.BurstWithoutRate,
      getPlace('burst'),
      formatFieldValue('burst', burst),
      '0, since an account without a rate has no limit',
    );
  }
  // With less than one request in reserve, a rate below 1 admits a request only by its tolerance.
  if (ratePerSecond > 0 && ratePerSecond < 1 && burst >= 0 && burst < 1) {
    list.addWarning(
      FindingCode.BurstBelowOne,
      getPlace('burst'),
      formatFieldValue('burst', burst),
      `at least 1 for a rate of ${ratePerSecond} per second`,
    );
  }
}

function checkRegions(
  list: FindingList,
  account: ClientAccount,
  {routes}: RouteConfiguration,
): void {
  const hasRoute = routes.some(
    route => getRequestTerms(route, account).homeRegions !== undefined,
  );
  if (hasRoute || routes.length === 0) return;
  list.addWarning(
    FindingCode.NoCommonRegion,
    {table: 'accounts', name: account.name, field: 'homeRegions'},
    formatFieldValue('homeRegions', account.homeRegions),
    'at least one home region of a route',
  );
}
