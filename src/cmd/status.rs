//! `status`: shows the fleet, optionally after waiting until a revision is in force at all daemons.

use std::thread;
use std::time::{Duration, Instant};

use adminapi::path;
use adminapi::status::{MemberStatus, StatusReply};
use types::prelude::*;

use crate::cli::Status;
use crate::client::Client;
use crate::failure::Failure;
use crate::output::{Output, print_table, table};

const POLL_INTERVAL: Duration = Duration::from_millis(500);

pub(super) fn run(client: &Client, output: &Output, args: &Status) -> Result<(), Failure> {
    let reply = match args.wait {
        Some(revision) => wait(client, revision, args.timeout)?,
        None => client.get(path::STATUS)?,
    };
    output.reply(&reply, show)
}

/// Polls until a revision is in force at all daemons; fails after `timeout`.
pub(super) fn wait(
    client: &Client,
    revision: Revision,
    timeout: Span,
) -> Result<StatusReply, Failure> {
    let deadline = Instant::now() + timeout.to_duration();
    loop {
        let reply: StatusReply = client.get(path::STATUS)?;
        if reply.in_force_everywhere >= revision {
            return Ok(reply);
        }
        if Instant::now() >= deadline {
            return Err(timed_out(&reply, revision, timeout));
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn timed_out(reply: &StatusReply, revision: Revision, timeout: Span) -> Failure {
    let behind = reply.lagging(revision).map(|member| {
        let (daemon, at, age) = (&member.daemon, member.revision, member.report_age);
        format!("\n  {daemon} reported revision {at} {} ago", rounded(age))
    });
    let behind: String = behind.collect();
    eyre::eyre!("revision {revision} is not in force everywhere after {timeout}; behind:{behind}")
        .into()
}

/// Prints the state of the fleet as tables.
pub(super) fn show(reply: &StatusReply) {
    let reachable = if reply.store_reachable {
        "answers"
    } else {
        "does not answer"
    };
    println!(
        "{} of {}: revision {}, in force everywhere {}, confirmed {} ago, store {reachable}",
        reply.daemon,
        reply.cluster,
        reply.revision,
        reply.in_force_everywhere,
        rounded(reply.freshness_age),
    );
    println!(
        "{} requests in flight, {} bills waiting",
        reply.in_flight, reply.bills_waiting
    );
    let mut rows = table([
        "DAEMON",
        "DOMAIN",
        "STATE",
        "REVISION",
        "REPORTED",
        "BEHIND FOR",
    ]);
    for member in &reply.members {
        rows.add_row(row(member));
    }
    print_table(&rows);
    for suspension in &reply.suspended {
        println!(
            "suspended: {}{}, {} of {} rated answers adequate",
            suspension.version,
            suspension
                .class
                .as_ref()
                .map(|c| format!(" for {c}"))
                .unwrap_or_default(),
            suspension.adequate,
            suspension.ratings,
        );
    }
}

fn row(member: &MemberStatus) -> [String; 6] {
    [
        member.daemon.to_string(),
        member.failure_domain.to_string(),
        member.state.as_str().to_owned(),
        member.revision.to_string(),
        format!("{} ago", rounded(member.report_age)),
        member.behind_for.map_or_else(|| "-".to_owned(), rounded),
    ]
}

/// Formats a span rounded down to milliseconds, or to seconds from ten seconds on.
fn rounded(span: Span) -> String {
    const TEN_SECONDS: Span = Span::from_secs(10);
    let millis = span.as_millis();
    let cut = if span < TEN_SECONDS {
        millis
    } else {
        millis / 1000 * 1000
    };
    Span::from_millis(cut).to_string()
}
