export {HttpStore, type HttpStoreOptions} from './http_store.js';
export {MemoryStore, type MemoryStoreOptions} from './memory_store.js';
export {
  InstanceState,
  type ListedInstance,
  type Store,
  type StoreEntry,
  type WatchOptions,
  type WatchResult,
} from './store.js';
export {
  StoreError,
  type StoreErrorOptions,
  StoreFailure,
} from './store_error.js';
export {RegistryError} from './registry_error.js';
export {
  RegistryFault,
  type RegistryItem,
  type RegistryItems,
  type RegistryStore,
  type RegistryWrite,
} from './registry_store.js';
