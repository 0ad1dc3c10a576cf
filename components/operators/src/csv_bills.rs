//! Bills as CSV, a line each under a line of names.

use adminapi::bill::BillRow;

const COLUMNS: [&str; 9] = [
    "at",
    "customer",
    "offer",
    "version",
    "request",
    "requests",
    "input_tokens",
    "output_tokens",
    "cost",
];

/// All rows, the names of the columns first.
pub(crate) fn encode(rows: &[BillRow]) -> Result<Vec<u8>, csv::Error> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    writer.write_record(COLUMNS)?;
    for row in rows {
        writer.write_record(fields(row))?;
    }
    writer.into_inner().map_err(|e| e.into_error().into())
}

fn fields(row: &BillRow) -> [String; 9] {
    let version = row.version.as_ref().map(ToString::to_string);
    let request = row.request.as_ref().map(ToString::to_string);
    [
        row.at.to_string(),
        row.customer.to_string(),
        row.offer.to_string(),
        version.unwrap_or_default(),
        request.unwrap_or_default(),
        row.requests.to_string(),
        row.input_tokens.to_string(),
        row.output_tokens.to_string(),
        row.cost.to_string(),
    ]
}
