//! Measures memory and the time of an edit for a catalogue of the size expected in two years.

use std::sync::Arc;
use std::time::Instant;

use catalogue::entry::{Body, Entry, Upstream};
use catalogue::record::{Catalogue, EncodedRecord, Record};
use catalogue::view::View;
use types::prelude::*;

use crate::report::Report;

const SERVICES: u64 = 400;
const UPSTREAMS: u64 = 30;
const EDITS: u64 = 200;
const ARM: &str = "catalogue of 12,000 upstreams";

/// Runs the measurement. `entry` is a service from which the others are derived.
pub fn measure(report: &mut Report, entry: &Entry) -> eyre::Result<()> {
    let baseline = resident_bytes()?;
    let mut catalogue = Catalogue::default();
    let records = (1..=SERVICES).map(|number| record(entry, number, number));
    let records = records.collect::<eyre::Result<Vec<_>>>()?;
    let started_at = Instant::now();
    catalogue.apply_all(records, Some(Revision(SERVICES)));
    report.note(ARM, "load_ms", started_at.elapsed().as_secs_f64() * 1_000.0);
    let view = View::from_catalogue(&catalogue);
    let catalogue_bytes = resident_bytes()?.saturating_sub(baseline);
    report.note(
        ARM,
        "resident_mib",
        catalogue_bytes as f64 / f64::from(1 << 20),
    );
    let stored_bytes: usize = catalogue
        .since(Revision(0))
        .map(|(_, r)| r.json.len())
        .sum();
    report.note(ARM, "stored_mib", stored_bytes as f64 / f64::from(1 << 20));
    report.note(ARM, "services", view.services.len() as f64);
    let started_at = Instant::now();
    for edit in 1..=EDITS {
        let record = record(entry, edit, SERVICES + edit)?;
        catalogue.apply_all([record], None);
    }
    let apply_ms = started_at.elapsed().as_secs_f64() * 1_000.0 / EDITS as f64;
    report.note(ARM, "apply_ms", apply_ms);
    let started_at = Instant::now();
    let view = View::from_catalogue(&catalogue);
    report.note(
        ARM,
        "index_ms",
        started_at.elapsed().as_secs_f64() * 1_000.0,
    );
    report.violations += u64::from(view.services.len() as u64 != SERVICES);
    Ok(())
}

fn record(entry: &Entry, number: u64, revision: u64) -> eyre::Result<(EntryName, EncodedRecord)> {
    let mut entry = entry.clone();
    if let Body::Service(service) = &mut entry.body {
        let example_upstream = service.upstreams.first().cloned();
        let example_upstream =
            example_upstream.ok_or_else(|| eyre::eyre!("the example service has no upstream"))?;
        let upstreams = (0..UPSTREAMS).map(|index| upstream(&example_upstream, number, index));
        service.upstreams = upstreams.collect::<Result<_, _>>()?;
    }
    let record = Record {
        revision: Revision(revision),
        edit_id: EditId(u128::from(revision)),
        author: OperatorName::new("bench")?,
        at: WallTime(0),
        entry: Some(Arc::new(entry)),
        history: Vec::new(),
    };
    let name = EntryName::new(&format!("services/pool-{number}"))?;
    Ok((name, EncodedRecord::new(Arc::new(record))))
}

fn upstream(example_upstream: &Upstream, number: u64, index: u64) -> eyre::Result<Upstream> {
    let address = format!("10.{}.{}.{}:8000", number / 256, number % 256, index + 1);
    Ok(Upstream {
        id: UpstreamId::new(&format!("pool-{number}-worker-{index}"))?,
        address: address.parse()?,
        ..example_upstream.clone()
    })
}

/// Resident memory of this process in bytes.
fn resident_bytes() -> eyre::Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    Ok(kib.unwrap_or(0) * 1024)
}
