//! Polls engines for their load reports, for routing.

use engine::Client;
use routing::{LoadReport, Target, UpstreamIndex};
use types::prelude::*;

use crate::shared::{Shared, lock};

/// Timeout of a poll.
const POLL_TIMEOUT: Span = Span::from_secs(1);

/// Polls one engine; does nothing for plain services, which report no load.
pub(crate) async fn poll(shared: &Shared, client: &Client, index: UpstreamIndex) {
    let found = {
        let router = lock(&shared.router);
        let upstream = router.upstream(index);
        upstream.map(|upstream| {
            let mut presumed = upstream.spec().assumed_loaded.iter();
            let is_engine =
                presumed.any(|target| matches!(router.target(*target), Some(Target::Version(_))));
            (
                upstream.spec().id.clone(),
                upstream.spec().address,
                is_engine,
            )
        })
    };
    let Some((id, address, true)) = found else {
        return;
    };
    let result = client.load_report(address, POLL_TIMEOUT).await;
    let mut router = lock(&shared.router);
    // The index may have been given to another upstream during the poll.
    let Some(index) = router.index_of(&id) else {
        return;
    };
    let now = shared.now();
    match result {
        Ok(report) => {
            let versions = report.versions.into_iter().map(Target::Version);
            let loaded = versions.filter_map(|version| router.target_index(&version));
            let report = LoadReport {
                running: report.running,
                waiting: report.waiting,
                slots: report.slots,
                loaded: Some(loaded.collect()),
                leaving: report.leaving,
            };
            router.record_report(now, index, &report);
        }
        Err(engine::AttemptError::NotSent(_)) => {
            router.record_unreachable(now, index, &mut rand::rng());
        }
        Err(error) => tracing::debug!("routing: {id} gave no load report: {error}"),
    }
}
