//! Bills as the operators' API exports them, by customer.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::fleet::Fleet;
use crate::daemons::OPERATOR_TOKEN;
use crate::load::http::{Connection, HttpRequest};

/// Longest wait for the bills of daemons to reach the store.
const COMPLETE_WITHIN: Duration = Duration::from_secs(30);
const LOOK_AGAIN: Duration = Duration::from_millis(500);

/// Requests billed for each customer, once no daemon holds bills back; nothing when the
/// export can't be had.
pub fn billed(fleet: &Fleet) -> Option<BTreeMap<String, u64>> {
    let ends = Instant::now() + COMPLETE_WITHIN;
    loop {
        let exports = (0..fleet.daemons.len()).map(|index| export(fleet, index));
        let exports = exports.collect::<Option<Vec<_>>>()?;
        let is_complete = exports.iter().all(|e| e["waiting"] == 0);
        if is_complete || Instant::now() > ends {
            return exports.first().map(requests_by_customer);
        }
        std::thread::sleep(LOOK_AGAIN);
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
