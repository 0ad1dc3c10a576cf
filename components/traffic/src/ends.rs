//! How the end of an upstream shows, and what had begun there.
//!
//! A connection that breaks may be the upstream's end, a cut link or one lost connection. So the
//! upstream is asked at once whether it still listens: a program that has ended refuses. Where
//! the host itself is gone nobody refuses, and its entry in the list goes some seconds later.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::rc::Rc;
use std::sync::Arc;

use dispatch::UpstreamIndex;
use http1::connect;
use poison::{Run, RunEnd, Under};
use routes::Upstream;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::attempt::{CONNECT_WITHIN, WIRE};
use crate::world::World;

/// Contents named in one log line at most: a busy engine's are some dozen.
const MAX_NAMED: usize = 16;

/// How an upstream's end showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sign {
    /// It refuses connections.
    Refuses,
    /// Its entry went from the list, after a run had broken there.
    GoneFromList,
}

/// Asks each upstream on which a run broke whether it still listens, once at a time.
pub(crate) async fn watch<T: 'static>(
    world: Rc<World<T>>,
    mut broken: UnboundedReceiver<UpstreamIndex>,
) {
    let asked = Rc::new(RefCell::new(BTreeSet::new()));
    while let Some(index) = broken.recv().await {
        let Some(spec) = world.upstreams.borrow().spec(index).cloned() else {
            continue;
        };
        if !asked.borrow_mut().insert(index) {
            continue;
        }
        let (world, asked) = (Rc::clone(&world), Rc::clone(&asked));
        tokio::task::spawn_local(async move {
            let refuses = refuses(&spec).await;
            asked.borrow_mut().remove(&index);
            if refuses {
                world.upstream_ended(index, &spec, Sign::Refuses);
            }
        });
    }
}

impl<T> World<T> {
    /// Notes that a run is over.
    pub(crate) fn run_over(&self, index: UpstreamIndex, run: Run, end: RunEnd) {
        let now = self.now();
        // What a leaving upstream cuts was planned.
        let is_planned = self.upstreams.borrow().is_leaving(index);
        let end = match end {
            RunEnd::Broken if is_planned => RunEnd::NotRun,
            end => end,
        };
        let under = self.runs.borrow_mut().over(now, index, run, end);
        if let Some(under) = under {
            let spec = self.upstreams.borrow().spec(index).cloned();
            self.note_under(spec.as_deref(), &[under], Sign::Refuses);
        } else if end == RunEnd::Broken {
            // The task that asks lives as long as the event loop.
            let _ = self.broken.send(index);
        }
    }

    /// Notes an upstream whose entry went without a word before.
    pub(crate) fn gone_from_list(&self, index: UpstreamIndex, spec: &Upstream) {
        let has_broken = self.runs.borrow().has_broken(index);
        if has_broken {
            self.upstream_ended(index, spec, Sign::GoneFromList);
        }
    }

    fn upstream_ended(&self, index: UpstreamIndex, spec: &Upstream, sign: Sign) {
        let under = self.runs.borrow_mut().ended(self.now(), index);
        self.metrics.upstream_ends.inc();
        self.note_under(Some(spec), &under, sign);
    }

    fn note_under(&self, spec: Option<&Upstream>, under: &[Under], sign: Sign) {
        let named = under.iter().take(MAX_NAMED);
        let named = named.map(|under| format!("{} {}ms", under.content, under.ran.as_millis()));
        tracing::warn!(
            upstream = spec.map(|spec| spec.id.as_str()),
            service = spec.map(|spec| &*spec.service),
            version = spec.map(|spec| &*spec.version),
            ?sign,
            under = named.collect::<Vec<_>>().join("; "),
            count = under.len(),
            "upstreams: ended"
        );
    }
}

/// Whether an upstream refuses connections. One that does not answer may be cut off only.
async fn refuses(spec: &Arc<Upstream>) -> bool {
    let opening = connect(spec.address, WIRE);
    let opened = tokio::time::timeout(CONNECT_WITHIN.to_duration(), opening).await;
    matches!(opened, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused)
}
