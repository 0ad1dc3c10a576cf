//! `bills`: lists bills as a table, JSON or CSV.

use adminapi::bill::{BillRow, BillsReply};
use adminapi::path;

use crate::cli::Bills;
use crate::client::Client;
use crate::failure::Failure;
use crate::output::{Output, print_table, table};

pub(super) fn run(client: &Client, output: &Output, args: &Bills) -> Result<(), Failure> {
    let mut query = Vec::new();
    if let Some(since) = args.since {
        query.push(format!("since={since}"));
    }
    if let Some(until) = args.until {
        query.push(format!("until={until}"));
    }
    if args.csv {
        query.push("format=csv".to_owned());
    }
    let path = format!("{}?{}", path::BILLS, query.join("&"));
    if args.csv {
        print!("{}", client.get_text(&path)?);
        return Ok(());
    }
    let reply: BillsReply = client.get(&path)?;
    output.reply(&reply, show)
}

fn show(reply: &BillsReply) {
    let mut rows = table([
        "HOUR", "CUSTOMER", "ENTRY", "VERSION", "REQUESTS", "INPUT", "OUTPUT", "COST", "ATTEMPTS",
    ]);
    for bill in &reply.bills {
        rows.add_row(row(bill));
    }
    print_table(&rows);
    if reply.pending {
        println!("bills wait for their roll-up: the totals may still grow");
    }
}

fn row(bill: &BillRow) -> [String; 9] {
    let version = bill.version.as_ref().map(ToString::to_string);
    [
        bill.hour.to_string(),
        bill.customer.to_string(),
        bill.entry.to_string(),
        version.unwrap_or_else(|| "-".to_owned()),
        bill.requests.to_string(),
        bill.input_tokens.to_string(),
        bill.output_tokens.to_string(),
        bill.cost.to_string(),
        bill.attempts.to_string(),
    ]
}
