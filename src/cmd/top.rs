//! `top`: shows the fleet and the daemon's traffic, refreshed at an interval.

use std::collections::BTreeMap;
use std::thread;

use adminapi::path;
use adminapi::status::StatusReply;
use types::prelude::*;

use crate::cli::Top;
use crate::client::Client;
use crate::cmd::status;
use crate::failure::Failure;
use crate::output::{print_table, table};

const CLEAR_SCREEN: &str = "\u{1b}[2J\u{1b}[H";
const REQUESTS: &str = "buckthorncross_requests_total";
const FIRST_TOKEN_SUM: &str = "buckthorncross_first_token_seconds_sum";
const FIRST_TOKEN_COUNT: &str = "buckthorncross_first_token_seconds_count";

pub(super) fn run(client: &Client, args: &Top) -> Result<(), Failure> {
    let mut before = Counters::read(&client.get_text(path::METRICS)?);
    let mut left = args.count;
    while left != Some(0) {
        thread::sleep(args.every.to_duration());
        let reply: StatusReply = client.get(path::STATUS)?;
        let now = Counters::read(&client.get_text(path::METRICS)?);
        if args.count.is_none() {
            print!("{CLEAR_SCREEN}");
        }
        status::show(&reply);
        show_traffic(&before, &now, args.every);
        before = now;
        left = left.map(|left| left - 1);
    }
    Ok(())
}

/// Traffic counters by offer; requests also by outcome.
#[derive(Debug, Default)]
struct Counters {
    requests: BTreeMap<(String, String), f64>,
    first_token_sum: BTreeMap<String, f64>,
    first_token_count: BTreeMap<String, f64>,
}

impl Counters {
    /// Reads the counters from the text of `/metrics` and ignores all other lines.
    fn read(text: &str) -> Self {
        let mut counters = Self::default();
        for line in text.lines() {
            counters.add_line(line);
        }
        counters
    }

    fn add_line(&mut self, line: &str) {
        let Some((series, value)) = line.rsplit_once(' ') else {
            return;
        };
        let (Some((name, labels)), Ok(value)) = (series.split_once('{'), value.parse()) else {
            return;
        };
        let Some(offer) = label(labels, "offer") else {
            return;
        };
        match name {
            REQUESTS => {
                let outcome = label(labels, "outcome").unwrap_or_default();
                self.requests.insert((offer, outcome), value);
            }
            FIRST_TOKEN_SUM => {
                self.first_token_sum.insert(offer, value);
            }
            FIRST_TOKEN_COUNT => {
                self.first_token_count.insert(offer, value);
            }
            _ => {}
        }
    }
}

fn label(labels: &str, name: &str) -> Option<String> {
    let parts = labels.trim_end_matches('}').split(',');
    let value = parts.filter_map(|part| part.strip_prefix(name)?.strip_prefix("=\""));
    value
        .map(|value| value.trim_end_matches('"').to_owned())
        .next()
}

fn show_traffic(before: &Counters, now: &Counters, every: Span) {
    let mut rows = table(["OFFER", "OUTCOME", "REQUESTS/S", "FIRST TOKEN, MEAN"]);
    for (key, count) in &now.requests {
        let rate = (count - before.requests.get(key).unwrap_or(&0.0)) / every.as_secs_f64();
        if rate == 0.0 {
            continue;
        }
        let (offer, outcome) = key;
        let first_token = mean_first_token(before, now, offer);
        rows.add_row([
            offer.clone(),
            outcome.clone(),
            format!("{rate:.1}"),
            first_token,
        ]);
    }
    print_table(&rows);
}

fn mean_first_token(before: &Counters, now: &Counters, offer: &str) -> String {
    let since = |now: &BTreeMap<String, f64>, before: &BTreeMap<String, f64>| {
        now.get(offer).unwrap_or(&0.0) - before.get(offer).unwrap_or(&0.0)
    };
    let count = since(&now.first_token_count, &before.first_token_count);
    if count == 0.0 {
        return "-".to_owned();
    }
    let sum = since(&now.first_token_sum, &before.first_token_sum);
    format!("{:.0}ms", sum / count * 1000.0)
}
