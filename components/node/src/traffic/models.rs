//! `GET /v1/models`: the names that a customer may use as `model`.

use std::collections::BTreeMap;

use bytes::Bytes;
use callers::{Head, HeaderMap, Request, StatusCode, header};
use serde::Serialize;

use super::Context;
use super::refusal::Refusal;

#[derive(Serialize)]
struct List {
    object: &'static str,
    data: Vec<Item>,
}

#[derive(Serialize, Clone)]
struct Item {
    id: String,
    object: &'static str,
    created: u64,
    owned_by: String,
}

/// Lists every name that the customer may use: offers, models, versions.
pub(crate) async fn list(cx: &Context, req: &Request) -> Result<(), Refusal> {
    let list = List {
        object: "list",
        data: items(cx).into_values().collect(),
    };
    send_json(req, &list).await;
    Ok(())
}

/// Answers with a single name of the list.
pub(crate) async fn get(cx: &Context, req: &Request) -> Result<(), Refusal> {
    let id = req.path.trim_start_matches("/v1/models/");
    let unknown = || {
        let message = format!("there is no model {id} for customer {}", cx.customer);
        Refusal::not_found("model_not_found", message)
    };
    let items = items(cx);
    let item = items.get(id).ok_or_else(unknown)?;
    send_json(req, item).await;
    Ok(())
}

fn items(cx: &Context) -> BTreeMap<String, Item> {
    let mut items = BTreeMap::new();
    let mut add = |id: String, owned_by: String| {
        items.entry(id.clone()).or_insert(Item {
            id,
            object: "model",
            created: 0,
            owned_by,
        });
    };
    for (name, offer) in &cx.snapshot.view.offers {
        let versions = cx.snapshot.view.permitted(offer, &cx.customer);
        if versions.is_empty() {
            continue;
        }
        add(name.to_string(), offer.class.to_string());
        for version in versions {
            add(version.model.to_string(), name.to_string());
            add(version.to_string(), name.to_string());
        }
    }
    items
}

async fn send_json(req: &Request, body: &impl Serialize) {
    let mut headers = HeaderMap::new();
    let json = callers::header::HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    let body = serde_json::to_vec(body).unwrap_or_default();
    let head = Head {
        status: StatusCode::OK,
        headers,
    };
    // Fails only if the caller is gone.
    let _ = req.responder.answer(head, Bytes::from(body)).await;
}
