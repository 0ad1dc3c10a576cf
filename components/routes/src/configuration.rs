//! A configuration as the operators list it: in order, with entries that others replace.

use std::collections::HashMap;
use std::sync::Arc;

use crate::key::{ApiKey, Customer};
use crate::table::{Limits, Route, RouteTable, Service, TableError, TableVersion};

/// A customer with its keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerEntry {
    /// The customer.
    pub customer: Arc<Customer>,
    /// Its keys; a key that a later entry lists too belongs to that one.
    pub keys: Vec<ApiKey>,
}

/// The entries of one version of the operators' configuration, in their order.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Version of the configuration.
    pub version: TableVersion,
    /// Limits on callers' requests.
    pub limits: Limits,
    /// Routes; of two with the same host and prefix, the first is used.
    pub routes: Vec<Route>,
    /// Services; of two with the same name, the last is used.
    pub services: Vec<Service>,
    /// Customers; `None` if requests carry no keys.
    pub customers: Option<Vec<CustomerEntry>>,
}

impl Configuration {
    /// Checks the entries and prepares them for look-ups.
    ///
    /// # Errors
    /// States which route is invalid.
    pub fn into_table(self) -> Result<RouteTable, TableError> {
        RouteTable::new(
            self.version,
            self.limits,
            self.routes,
            self.services,
            self.customers.map(customers_by_key),
        )
    }
}

fn customers_by_key(entries: Vec<CustomerEntry>) -> HashMap<ApiKey, Arc<Customer>> {
    let mut customers = HashMap::new();
    for entry in entries {
        for key in entry.keys {
            customers.insert(key, Arc::clone(&entry.customer));
        }
    }
    customers
}
