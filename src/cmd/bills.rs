//! Bills.

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
        "AT", "CUSTOMER", "OFFER", "VERSION", "REQUEST", "REQUESTS", "INPUT", "OUTPUT", "COST",
    ]);
    for bill in &reply.bills {
        rows.add_row(row(bill));
    }
    print_table(&rows);
    println!(
        "{} bills at this daemon are not in the store yet",
        reply.waiting
    );
    if reply.truncated {
        println!("there are more; ask for a shorter time with --since and --until");
    }
}

fn row(bill: &BillRow) -> [String; 9] {
    let or_dash = |text: Option<String>| text.unwrap_or_else(|| "-".to_owned());
    [
        bill.at.to_string(),
        bill.customer.to_string(),
        bill.offer.to_string(),
        or_dash(bill.version.as_ref().map(ToString::to_string)),
        or_dash(bill.request.as_ref().map(ToString::to_string)),
        bill.requests.to_string(),
        bill.input_tokens.to_string(),
        bill.output_tokens.to_string(),
        bill.cost.to_string(),
    ]
}
