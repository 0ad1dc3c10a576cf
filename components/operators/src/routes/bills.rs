//! Handler for bills, as JSON or CSV.

use adminapi::bill::{BillsQuery, BillsReply};
use adminapi::error::{ErrorBody, ErrorCode};
use rouille::{Request, Response};
use types::prelude::*;

use crate::command::Command;
use crate::reply::{Answer, fail, json};
use crate::routes::Api;

impl Api {
    pub(super) fn get_bills(&self, req: &Request) -> Answer {
        let query = BillsQuery {
            since: time_param(req, "since")?,
            until: time_param(req, "until")?,
        };
        let format = req.get_param("format").unwrap_or_else(|| "json".to_owned());
        let reply = self
            .ask(|tx| Command::Bills(query, tx))?
            .or_else(|reason| {
                fail(
                    ErrorCode::Unavailable,
                    format!("bills cannot be read now: {reason}"),
                    "bills are kept; ask again when the store answers",
                )
            })?;
        match format.as_str() {
            "json" => json(&reply),
            "csv" => csv_answer(&reply),
            _ => fail(
                ErrorCode::InvalidRequest,
                format!("{format} is not a format"),
                "json and csv are",
            ),
        }
    }
}

fn csv_answer(reply: &BillsReply) -> Answer {
    let text = to_csv(reply).or_else(|e| {
        fail(
            ErrorCode::Internal,
            format!("the bills cannot be written as CSV: {e}"),
            "ask for format=json",
        )
    })?;
    Ok(Response::from_data("text/csv; charset=utf-8", text)
        .with_additional_header("X-Pending", reply.pending.to_string()))
}

fn to_csv(reply: &BillsReply) -> Result<Vec<u8>, csv::Error> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    for row in &reply.bills {
        writer.serialize(row)?;
    }
    writer.into_inner().map_err(|e| e.into_error().into())
}

fn time_param(req: &Request, name: &str) -> Result<Option<WallTime>, Box<ErrorBody>> {
    let Some(text) = req.get_param(name) else {
        return Ok(None);
    };
    text.parse().map(Some).or_else(|_| {
        fail(
            ErrorCode::InvalidRequest,
            format!("{name}={text} is not a moment"),
            "write it as 2026-12-02T17:00:00Z",
        )
    })
}
