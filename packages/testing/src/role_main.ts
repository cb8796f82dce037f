import process from 'node:process';
import {Step, StepError} from '@primrosestage/common';
import {loadSettings} from '@primrosestage/control';
import {runBackendProcess} from './backend/index.js';
import {runCallerProcess} from './callers/index.js';
import {runInstanceProcess} from './faults/index.js';
import {runStoreProcess} from './store/index.js';

// Usage: node role_main.js store|backend|callers|instance SETTINGS_FILE [SEED]
const [role, file = '', seed = '1'] = process.argv.slice(2);
const getSystem = () => loadSettings(file).system;
if (role === 'store') await runStoreProcess(getSystem(), Number(seed));
else if (role === 'backend') await runBackendProcess(getSystem(), Number(seed));
else if (role === 'callers') await runCallerProcess(getSystem(), Number(seed));
else if (role === 'instance') await runInstanceProcess(file);
else
  throw new StepError(
    {step: Step.Settings, peer: String(role)},
    'unknown role',
  );
