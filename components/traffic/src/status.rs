//! Readiness, metrics and the state, served on an address of their own.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http1::write::{push_length, push_status};
use http1::{Head, Kind, Wire};
use poison::{Content, Quarantine};
use serde::Serialize;
use types::prelude::*;

use crate::plan::Plan;
use crate::shared::{Shared, Stage};
use crate::translate::Translator;

/// Longest head accepted here, in bytes.
const MAX_HEAD: usize = 8 * 1024;
/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A summary of the daemon's state.
#[derive(Debug, Serialize)]
struct Dump<'a> {
    stage: String,
    is_ready: bool,
    table_version: Option<u64>,
    /// Milliseconds since the configuration was last known to be current.
    proven_ms: Option<u64>,
    upstreams: usize,
    /// Number of upstreams by service and version.
    versions: BTreeMap<String, usize>,
    unreadable_upstreams: usize,
    /// Upstreams in use whose entry disappeared and may only have lapsed.
    lapsed_upstreams: usize,
    /// Failure domains whose upstreams get no new requests.
    evacuated: Vec<&'a str>,
    /// Upstreams that are cold.
    cold: usize,
    daemons: usize,
    rollouts: Vec<(&'a str, &'a str, f64)>,
    barred_versions: BTreeMap<&'a str, Vec<&'a str>>,
    callers: usize,
    requests: usize,
    held_bytes: u64,
    held_answer_bytes: u64,
    kept_connections: usize,
    /// Upstreams reached only through peers.
    lost_paths: usize,
    /// Tunnels open for peers.
    served_tunnels: usize,
    sessions: usize,
    /// Routes whose requests' durations are known.
    timed_routes: usize,
    /// Use of the retry budgets, by service.
    retry_budgets: BTreeMap<String, String>,
    /// Rate limits that upstreams advertise, by upstream.
    rate_limits: BTreeMap<String, Rate>,
    barred_contents: usize,
    barred: Vec<QuarantinedContent>,
}

/// A quarantined content, which is sent to no upstream.
#[derive(Debug, Serialize)]
struct QuarantinedContent {
    content: Content,
    customer: Option<Arc<str>>,
    /// Seconds since the start of the quarantine.
    for_s: f64,
    /// Seconds until the half-open trial.
    tried_in_s: f64,
    /// Upstreams that crashed under it, each with the milliseconds for which it had been processed
    /// there.
    ended: BTreeMap<String, u64>,
}

impl QuarantinedContent {
    fn of(now: Time, quarantined: Quarantine) -> Self {
        let crashes = quarantined.crashes.iter();
        let crashes = crashes.map(|(upstream, ran)| (upstream.id.to_string(), ran.as_millis()));
        Self {
            content: quarantined.content,
            for_s: now.since(quarantined.since).as_secs_f64(),
            tried_in_s: now.until(quarantined.until).as_secs_f64(),
            ended: crashes.collect(),
            customer: quarantined.customer,
        }
    }
}

/// Serves one connection.
pub(crate) async fn serve<T: Translator>(shared: Rc<Shared<T>>, wire: Wire) {
    loop {
        let answered = tokio::time::timeout(IDLE_TIMEOUT, answer(&shared, &wire)).await;
        if !matches!(answered, Ok(true)) {
            return;
        }
    }
}

async fn answer<T: Translator>(shared: &Shared<T>, wire: &Wire) -> bool {
    let head = loop {
        match Head::take_request(&mut wire.buf(), MAX_HEAD) {
            Ok(Some(head)) => break head,
            Ok(None) => {}
            Err(_) => return false,
        }
        if !matches!(wire.fill().await, Ok(n) if n > 0) {
            return false;
        }
    };
    let Kind::Request { target, .. } = &head.kind else {
        return false;
    };
    let is_ready = is_ready(shared);
    let (status, body) = match target.as_str() {
        path if path == shared.cfg.ready_path => (if is_ready { 200 } else { 503 }, String::new()),
        "/metrics" => {
            let cold = shared.upstreams.borrow().count_cold(shared.now());
            let cold = i64::try_from(cold).unwrap_or(i64::MAX);
            shared.metrics.cold_upstreams.set(cold);
            shared.measure_overload();
            shared
                .metrics
                .set_balance(&shared.upstreams.borrow(), shared.now());
            let dropped = shared.cfg.dropped_logs.lines();
            (200, shared.metrics.text(dropped))
        }
        "/state" => (200, dump(shared, is_ready)),
        _ => (404, String::new()),
    };
    let mut out = Vec::with_capacity(128 + body.len());
    push_status(&mut out, status);
    push_length(&mut out, body.len());
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body.as_bytes());
    wire.write_all(&out).await.is_ok() && head.keeps_alive()
}

fn is_ready<T>(shared: &Shared<T>) -> bool {
    shared.plan().is_ready && shared.stage() == Stage::Serving
}

fn versions(plan: &Plan) -> BTreeMap<String, usize> {
    let mut versions = BTreeMap::new();
    for upstream in &plan.upstreams {
        let name = format!("{} {}", upstream.service, upstream.version);
        *versions.entry(name).or_default() += 1;
    }
    versions
}

/// Versions that get no requests whatever the share of the ordered one, by service.
fn barred_versions(plan: &Plan) -> BTreeMap<&str, Vec<&str>> {
    let gates = plan.gates.iter().map(|gate| {
        let barred = gate.barred.iter().filter(|version| **version != gate.to);
        (&*gate.service, barred.map(|version| &**version).collect())
    });
    gates.collect()
}

fn dump<T>(shared: &Shared<T>, is_ready: bool) -> String {
    let plan = shared.plan();
    let gates = plan.gates.iter();
    let (now, quarantined) = (shared.now(), shared.cfg.suspects.lock().quarantined());
    let dump = Dump {
        stage: format!("{:?}", shared.stage()),
        is_ready,
        table_version: plan.table.as_ref().map(|table| table.version.0),
        proven_ms: shared.proven_ms(now),
        upstreams: plan.upstreams.len(),
        versions: versions(&plan),
        unreadable_upstreams: plan.unreadable_upstreams,
        lapsed_upstreams: plan.lapsed_upstreams,
        evacuated: plan.evacuated.iter().map(FailureDomain::as_str).collect(),
        cold: shared.upstreams.borrow().count_cold(now),
        daemons: plan.daemons,
        rollouts: gates
            .map(|gate| (&*gate.service, &*gate.to, gate.share))
            .collect(),
        barred_versions: barred_versions(&plan),
        callers: shared.caller_connections.get(),
        requests: shared.requests_in_flight.get(),
        held_bytes: shared.held_body_bytes.get(),
        held_answer_bytes: shared.held_answers.bytes(),
        kept_connections: shared.pool.borrow().len(),
        lost_paths: shared.paths.borrow().lost(),
        served_tunnels: shared.served_tunnels.get(),
        sessions: shared.pins.borrow().len(),
        timed_routes: shared.durations.borrow().len(),
        retry_budgets: shared.describe_budgets(),
        rate_limits: shared.upstreams.borrow().limited().collect(),
        barred_contents: quarantined.len(),
        barred: quarantined
            .into_iter()
            .map(|quarantined| QuarantinedContent::of(now, quarantined))
            .collect(),
    };
    match serde_json::to_string(&dump) {
        Ok(text) => text,
        Err(e) => {
            tracing::warn!("status: cannot serialize the state as JSON: {e}");
            String::new()
        }
    }
}
