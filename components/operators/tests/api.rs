//! The operators' API over HTTP, with a simple control thread behind it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use adminapi::edit::{EditReply, EditState};
use adminapi::entry::{CatalogueReply, EntryReply, EntrySummary, HistoryReply};
use adminapi::error::{ErrorBody, ErrorCode, ErrorReply};
use attohttpc::{Method, RequestBuilder, Response};
use catalogue::entry::{Body, Entry, RolloutState, VersionState};
use catalogue::record::{Catalogue, PastEdit, Record};
use operators::auth::Tokens;
use operators::command::{Command, Edit, EditOutcome};
use operators::health::Health;
use operators::{Bounds, Config, Handle, start};
use serde_json::{Value, json};
use telemetry::metrics::Metrics;
use types::prelude::*;

const TOKEN: &str = "dev-operator";

/// A control thread with an in-memory catalogue; the next edit can be made to fail.
#[derive(Default)]
struct Control {
    catalogue: Catalogue,
    edits: BTreeMap<EditId, EditReply>,
    fail_next: Option<EditOutcome>,
}

impl Control {
    fn answer(&mut self, command: Command) {
        match command {
            Command::Catalogue(tx) => tx.send(CatalogueReply {
                revision: self.catalogue.revision(),
                entries: self.summaries(),
                held_back: Vec::new(),
            }),
            Command::Entry(name, tx) => {
                let record = self.catalogue.record(&name);
                tx.send(record.map(|r| EntryReply::from_record(&name, r)));
            }
            Command::History(name, tx) => {
                let record = self.catalogue.record(&name);
                tx.send(record.map(|r| HistoryReply::from_record(&name, r)));
            }
            Command::Edit(edit, tx) => tx.send(self.edit(edit)),
            Command::EditState(id, tx) => tx.send(self.edits.get(&id).cloned()),
            Command::LiftSuspension(_, tx) => tx.send(0),
            Command::Rollouts(tx) => tx.send(Default::default()),
            Command::Status(_) | Command::Dump(_) => {}
            Command::Bills(_, tx) => tx.send(Err("the store does not answer".to_owned())),
        }
    }

    fn summaries(&self) -> Vec<EntrySummary> {
        let records = self.catalogue.records();
        records
            .filter_map(|(name, r)| EntrySummary::from_record(name, r))
            .collect()
    }

    fn edit(&mut self, edit: Edit) -> EditOutcome {
        if let Some(outcome) = self.fail_next.take() {
            return outcome;
        }
        let held = self.catalogue.record(&edit.name);
        let stands = held.filter(|r| r.entry.is_some()).map(|r| r.revision);
        if stands != edit.if_match {
            let current = held.map(|r| Box::new(EntryReply::from_record(&edit.name, r)));
            return EditOutcome::Conflict { current };
        }
        let past = held.map(|r| PastEdit {
            revision: r.revision,
            edit_id: r.edit_id,
            author: r.author.clone(),
            at: r.at,
        });
        let revision = self.catalogue.revision().next();
        let record = Record {
            revision,
            edit_id: edit.edit_id,
            author: edit.author,
            at: WallTime(0),
            entry: edit.entry,
            history: past.into_iter().collect(),
        };
        self.catalogue.apply(edit.name, Arc::new(record));
        EditOutcome::Applied { revision }
    }
}

struct Server {
    address: SocketAddr,
    handle: Option<Handle>,
    health: Arc<Health>,
    fail: flume::Sender<EditOutcome>,
}

impl Server {
    fn start() -> Self {
        let (tx, rx) = flume::bounded(16);
        let (fail, failures) = flume::unbounded();
        std::thread::spawn(move || {
            let mut control = Control::default();
            for command in rx {
                control.fail_next = failures.try_recv().ok();
                control.answer(command);
            }
        });
        let health = Arc::new(Health::new(Clock::new()));
        let operator = OperatorName::new("asha").unwrap();
        let handle = start(Config {
            listen: "127.0.0.1:0".parse().unwrap(),
            bounds: Bounds::default(),
            tokens: Tokens::new([(&operator, &TOKEN.to_owned())]),
            submit: Box::new(move |command| tx.try_send(command).is_ok()),
            metrics: Arc::new(Metrics::new()),
            health: Arc::clone(&health),
        })
        .unwrap();
        Self {
            address: handle.address(),
            handle: Some(handle),
            health,
            fail,
        }
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        RequestBuilder::new(method, format!("http://{}{path}", self.address))
    }

    fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: &Value,
    ) -> Response {
        let mut req = self.request(method, path).bearer_auth(TOKEN);
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        req.json(body).unwrap().send().unwrap()
    }

    fn get(&self, path: &str) -> Response {
        self.request(Method::GET, path)
            .bearer_auth(TOKEN)
            .send()
            .unwrap()
    }

    fn put(&self, path: &str, headers: &[(&'static str, &str)], body: &Value) -> Response {
        self.call(Method::PUT, path, headers, body)
    }

    fn post(&self, path: &str, body: &Value) -> Response {
        self.call(Method::POST, path, &[], body)
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        if let Some(handle) = self.handle.take() {
            handle.stop();
        }
    }
}

fn error_of(response: Response) -> (u16, ErrorBody) {
    let status = response.status().as_u16();
    let reply: ErrorReply = response.json().unwrap();
    (status, reply.error)
}

fn customer(weight: u32) -> Value {
    json!({"owner": "tariffs", "kind": "customer", "key_sha256": [], "weight": weight})
}

fn model(state: &str) -> Value {
    let price = json!({"input": "1.000000", "output": "2.000000"});
    json!({"owner": "tariffs", "kind": "model", "service": "services/tariff-llm", "versions": {
        "2026-11": {"state": "offered", "price": price},
        "2026-12": {"state": state, "price": price},
    }})
}

#[test]
fn can_put_read_list_and_remove_an_entry() {
    let server = Server::start();
    let put = server.put("/catalogue/customers/acme", &[], &customer(1));
    assert_eq!(put.status().as_u16(), 200);
    assert_eq!(put.headers()["ETag"], "\"1\"");
    let edit_id = put.headers()["X-Edit-Id"].to_str().unwrap().to_owned();

    let get = server.get("/catalogue/customers/acme");
    assert_eq!(get.headers()["ETag"], "\"1\"");
    let entry: EntryReply = get.json().unwrap();
    assert_eq!(entry.author.as_str(), "asha");
    assert_eq!(entry.edit_id.to_string(), edit_id);

    let list: CatalogueReply = server.get("/catalogue").json().unwrap();
    assert_eq!(list.entries[0].kind, "customer");

    let headers = [("If-Match", "\"1\"")];
    let gone = server.call(
        Method::DELETE,
        "/catalogue/customers/acme",
        &headers,
        &json!({}),
    );
    assert_eq!(gone.status().as_u16(), 200);
    let (status, _) = error_of(server.get("/catalogue/customers/acme"));
    assert_eq!(status, 404);
    let history: HistoryReply = server
        .get("/catalogue/customers/acme/history")
        .json()
        .unwrap();
    let revisions: Vec<u64> = history.edits.iter().map(|e| e.revision.0).collect();
    assert_eq!(revisions, [2, 1]);
}

/// Two operators read the same entry and both send a change. If both were accepted, the first
/// change would be lost while its author believes that it is in force. The second must be refused
/// and its author shown the current entry.
#[test]
fn a_conflicting_edit_is_refused_with_the_current_entry() {
    let server = Server::start();
    let path = "/catalogue/customers/acme";
    server.put(path, &[], &customer(1));
    assert_eq!(
        server
            .put(path, &[("If-Match", "\"1\"")], &customer(2))
            .status()
            .as_u16(),
        200
    );

    let (status, error) = error_of(server.put(path, &[("If-Match", "\"1\"")], &customer(3)));

    assert_eq!((status, error.code), (412, ErrorCode::Conflict));
    assert_eq!(error.current.as_ref().unwrap().revision, Revision(2));
    assert!(
        error.to_string().contains("weight: sent 3, stands 2"),
        "{error}"
    );
}

#[test]
fn an_edit_of_an_existing_entry_needs_if_match() {
    let server = Server::start();
    let path = "/catalogue/customers/acme";
    server.put(path, &[], &customer(1));
    let (status, error) = error_of(server.put(path, &[], &customer(2)));
    assert_eq!((status, error.code), (428, ErrorCode::PreconditionRequired));
    let (status, _) = error_of(server.call(Method::DELETE, path, &[], &json!({})));
    assert_eq!(status, 428);
    let (status, error) = error_of(server.put(path, &[("If-Match", "*")], &customer(2)));
    assert_eq!((status, error.code), (400, ErrorCode::InvalidRequest));
}

/// The store's reply to an edit is lost, so that the edit may have taken effect or may still do so.
/// Both "failed" and "done" could mislead the operator. The answer must say that the outcome is
/// unknown and give the id for asking again.
#[test]
fn errors_say_when_the_outcome_of_an_edit_is_not_known() {
    let server = Server::start();
    server.fail.send(EditOutcome::Unknown).unwrap();
    let headers = [("X-Edit-Id", "abc")];
    let response = server.put("/catalogue/customers/acme", &headers, &customer(1));
    assert!(
        response.headers()["X-Edit-Id"]
            .to_str()
            .unwrap()
            .ends_with("abc")
    );
    let (status, error) = error_of(response);
    assert_eq!((status, error.code), (504, ErrorCode::OutcomeUnknown));
    assert!(error.hint.contains("/edits/"));
    assert_eq!(error_of(server.get("/edits/abc")).0, 404);
    assert_eq!(error_of(server.get("/edits/xyz")).0, 400);

    let reason = "the store is down".to_owned();
    server
        .fail
        .send(EditOutcome::NotApplied { reason })
        .unwrap();
    let (status, error) = error_of(server.put("/catalogue/customers/acme", &[], &customer(1)));
    assert_eq!((status, error.code), (503, ErrorCode::NotApplied));
    let problems = vec!["weight must be at least 1".to_owned()];
    server.fail.send(EditOutcome::Invalid { problems }).unwrap();
    let (status, error) = error_of(server.put("/catalogue/customers/acme", &[], &customer(0)));
    assert_eq!((status, error.problems.len()), (422, 1));
}

#[test]
fn can_drive_a_roll_out_and_withdraw_by_edits() {
    let server = Server::start();
    let entry = |server: &Server| -> Entry {
        let reply: EntryReply = server.get("/catalogue/models/tariff").json().unwrap();
        reply.entry.unwrap().as_ref().clone()
    };
    server.put("/catalogue/models/tariff", &[], &model("withdrawn"));
    let reply = server.post("/rollouts/tariff/start", &json!({"to": "2026-12"}));
    let edit: EditReply = reply.json().unwrap();
    assert_eq!(
        (edit.state, edit.revision),
        (EditState::Applied, Some(Revision(2)))
    );
    assert_eq!(
        server
            .post("/rollouts/tariff/advance", &json!({}))
            .status()
            .as_u16(),
        200
    );
    let Body::Model(now) = entry(&server).body else {
        panic!("not a model")
    };
    assert_eq!(now.rollout.as_ref().unwrap().step, 1);
    assert_eq!(now.rollout.unwrap().from.as_str(), "2026-11");

    let withdrawn = server.post("/withdraw/tariff@2026-12", &json!({}));
    assert_eq!(withdrawn.status().as_u16(), 200);
    let Body::Model(now) = entry(&server).body else {
        panic!("not a model")
    };
    assert_eq!(now.rollout.unwrap().state, RolloutState::Aborted);
    let version = "2026-12".parse::<VersionName>().unwrap();
    assert_eq!(now.versions[&version].state, VersionState::Withdrawn);
    let (status, error) = error_of(server.post("/rollouts/tariff/pause", &json!({})));
    assert_eq!((status, error.code), (409, ErrorCode::WrongState));
}

#[test]
fn the_server_keeps_working_after_bad_input() {
    let server = Server::start();
    let no_token = server.request(Method::GET, "/catalogue").send().unwrap();
    assert_eq!(error_of(no_token).0, 401);
    let wrong = server
        .request(Method::GET, "/catalogue")
        .bearer_auth("no")
        .send()
        .unwrap();
    assert_eq!(error_of(wrong).0, 401);
    assert_eq!(error_of(server.get("/nowhere")).0, 404);
    assert_eq!(
        error_of(server.call(Method::PUT, "/status", &[], &json!({}))).0,
        405
    );
    let path = "/catalogue/customers/acme";
    let broken = server
        .request(Method::PUT, path)
        .bearer_auth(TOKEN)
        .text("{\"owner\":")
        .send();
    assert_eq!(error_of(broken.unwrap()).0, 400);
    let unknown = json!({"owner": "x", "kind": "customer", "key_sha256": [], "colour": 1});
    let (status, error) = error_of(server.put(path, &[], &unknown));
    assert_eq!(status, 422);
    assert!(error.problems[0].contains("colour"), "{error}");
    let large = json!({"owner": "x".repeat(2 << 20)});
    assert_eq!(error_of(server.put(path, &[], &large)).0, 413);
    assert_eq!(error_of(server.get("/bills?since=yesterday")).0, 400);
    assert_eq!(error_of(server.get("/bills")).0, 503);
    assert_eq!(server.get("/catalogue").status().as_u16(), 200);
}

#[test]
fn can_probe_without_token() {
    let server = Server::start();
    let probe = |path: &str| server.request(Method::GET, path).send().unwrap();
    assert_eq!(probe("/healthz").status().as_u16(), 200);
    let ready = probe("/readyz");
    assert_eq!(ready.status().as_u16(), 503);
    assert!(ready.text().unwrap().contains("starting"));
    server.health.tick(None);
    assert_eq!(probe("/readyz").status().as_u16(), 200);
    assert!(
        probe("/metrics")
            .text()
            .unwrap()
            .contains("buckthorncross_catalogue_revision")
    );
}
