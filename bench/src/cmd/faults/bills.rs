//! Reads the number of bills by customer from the export of the operators' API.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::fleet::Fleet;
use crate::daemons::OPERATOR_TOKEN;
use crate::load::http::{Connection, HttpRequest};

/// Time limit for the daemons' bills to reach the store.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the billed requests by customer once no daemon holds back bills or the time limit has
/// passed; `None` if the export can't be read.
pub fn billed(fleet: &Fleet) -> Option<BTreeMap<String, u64>> {
    let deadline = Instant::now() + COMPLETION_TIMEOUT;
    loop {
        let exports = (0..fleet.daemons.len()).map(|index| export(fleet, index));
        let exports = exports.collect::<Option<Vec<_>>>()?;
        let is_complete = exports.iter().all(|e| e["waiting"] == 0);
        if is_complete || Instant::now() > deadline {
            return exports.first().map(requests_by_customer);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn export(fleet: &Fleet, index: usize) -> Option<Value> {
    let address = fleet.with_daemon(index, |daemon| daemon.plan.addresses.operators);
    let bearer = format!("Bearer {OPERATOR_TOKEN}");
    let request = HttpRequest {
        method: "GET",
        path: "/bills",
        headers: &[("authorization", &bearer)],
        body: &[],
    };
    match Connection::new(address).send(&request) {
        Ok(response) if response.status == 200 => serde_json::from_slice(&response.body).ok(),
        Ok(response) => {
            let body = String::from_utf8_lossy(&response.body);
            eprintln!("faults: {address}/bills: {}: {body}", response.status);
            None
        }
        Err(e) => {
            eprintln!("faults: {address}/bills: {e}");
            None
        }
    }
}

fn requests_by_customer(export: &Value) -> BTreeMap<String, u64> {
    let mut billed = BTreeMap::new();
    // Calls of plain services have no version; only chats are compared.
    let rows = export["bills"].as_array().into_iter().flatten();
    for row in rows.filter(|row| row["version"].is_string()) {
        let customer = row["customer"].as_str().unwrap_or_default().to_owned();
        *billed.entry(customer).or_default() += row["requests"].as_u64().unwrap_or(0);
    }
    billed
}
