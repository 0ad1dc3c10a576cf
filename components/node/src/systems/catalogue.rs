//! Holds the catalogue, synchronises it with other daemons and the store, and edits it.
//!
//! Wraps the tables of [`catalogue`] and turns their effects into actions for the control thread.

use std::collections::{BTreeMap, VecDeque};

use adminapi::edit::{EditReply, EditState};
use adminapi::entry::EntryReply;
use bytes::Bytes;
use catalogue::edit::{Edit, Editor, IfMatch, Output, Proposal, Query, Task, Ticket, Verdict};
use catalogue::head::Keys;
use catalogue::record::Catalogue;
use catalogue::sync::{Config, Effect, Member, Message, Sync};
use catalogue::view::View;
use keyvalue::{Outcome, Request, WatchEvent};
use operators::command::{Edit as EditCommand, EditOutcome, ReplyTo};
use rand::SeedableRng;
use rand::rngs::StdRng;
use settings::Settings;
use types::prelude::*;

use crate::event::StoreUse;

/// Time limit for an edit or a query about one; after it the outcome is unknown.
const EDIT_TIMEOUT: Span = Span::from_secs(10);

/// Most edits of this daemon whose entry is remembered, for queries by edit id.
const MAX_REMEMBERED_EDITS: usize = 1024;

/// An action for the control thread.
#[derive(Debug)]
pub enum Action {
    /// Call the store.
    Store(StoreUse, Request),
    /// Send a message to a daemon; it may be lost.
    Send(DaemonId, Bytes),
    /// Start to watch the store.
    Watch,
    /// Stop watching the store.
    StopWatch,
    /// Apply the catalogue, which changed.
    Changed,
}

/// The catalogue, its edits, and the requests that wait for their outcome.
pub struct Table {
    keys: Keys,
    /// Author of the records which mark edits that were given up.
    daemon_author: OperatorName,
    sync: Sync,
    editor: Editor,
    rng: StdRng,
    members: Vec<Member>,
    waiting: BTreeMap<Ticket, Waiting>,
    last_ticket: u64,
    remembered: VecDeque<(EditId, EntryName)>,
}

/// A request that waits for the verdict on an edit.
enum Waiting {
    Edit(EntryName, ReplyTo<EditOutcome>),
    Query(EditId, Option<EntryName>, ReplyTo<Option<EditReply>>),
}

impl Table {
    /// Creates an empty table for the daemon of these settings.
    #[must_use]
    pub fn new(settings: &Settings, seed: u64) -> Self {
        let me = Member {
            id: settings.daemon.clone(),
            failure_domain: settings.failure_domain.clone(),
        };
        Self {
            keys: Keys::new(&settings.cluster),
            daemon_author: daemon_author(),
            sync: Sync::new(Config::new(me.id.clone(), &settings.cluster)),
            editor: Editor::default(),
            rng: StdRng::seed_from_u64(seed),
            members: vec![me],
            waiting: BTreeMap::new(),
            last_ticket: 0,
            remembered: VecDeque::new(),
        }
    }

    /// The catalogue as this daemon holds it.
    #[must_use]
    pub fn catalogue(&self) -> &Catalogue {
        self.sync.catalogue()
    }

    /// Synchronisation with other daemons, and the catalogue's freshness.
    #[must_use]
    pub fn sync(&self) -> &Sync {
        &self.sync
    }

    /// Records that a caller waits, for `timeout` at most, until a revision is in force everywhere.
    pub fn wait_for(&mut self, now: Time, revision: Revision, timeout: Span) {
        self.sync.wait_for(revision, now + timeout);
    }

    /// The catalogue indexed for serving requests.
    #[must_use]
    pub fn view(&self) -> View {
        View::from_catalogue(self.catalogue())
    }

    /// The live daemons, this one included.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Sets the live daemons, this one included.
    pub fn set_members(&mut self, members: Vec<Member>) {
        self.members = members;
    }

    /// Records another daemon's report, received `age` ago, of the revision that it has in force.
    pub fn report(&mut self, now: Time, daemon: &DaemonId, revision: Revision, age: Span) {
        self.sync.report(now, daemon, revision, age);
    }

    /// Runs timed work: synchronisation and edits.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let effects = self.sync.tick(now, &self.members, &mut self.rng);
        let outputs = self.editor.tick(now);
        let mut actions = actions_of(effects);
        self.handle_outputs(outputs, &mut actions);
        actions
    }

    /// Handles a message of another daemon; one that cannot be decoded is dropped.
    pub fn on_peer(&mut self, now: Time, from: &DaemonId, bytes: &[u8]) -> Vec<Action> {
        match Message::decode(bytes) {
            Ok(message) => {
                let effects = self.sync.on_message(now, from, message, &mut self.rng);
                actions_of(effects)
            }
            Err(e) => {
                tracing::warn!("catalogue: dropped a message of {from}: {e}");
                Vec::new()
            }
        }
    }

    /// Handles changes reported by the watch.
    pub fn on_watch(&mut self, now: Time, events: &[WatchEvent]) -> Vec<Action> {
        actions_of(self.sync.on_watch(now, events, &mut self.rng))
    }

    /// Handles the outcome of a read of the catalogue.
    pub fn on_store(&mut self, now: Time, outcome: Outcome) -> Vec<Action> {
        actions_of(self.sync.on_store(now, outcome, &mut self.rng))
    }

    /// Handles the outcome of a step of an edit.
    pub fn on_edit_step(&mut self, now: Time, outcome: Outcome) -> Vec<Action> {
        let known = self.sync.edit_context(now);
        let outputs = self.editor.on_outcome(now, outcome, known, &mut self.rng);
        let learned = self.editor.take_learned();
        let mut actions = actions_of(self.sync.apply_records(learned, &mut self.rng));
        self.handle_outputs(outputs, &mut actions);
        actions
    }

    /// Starts an edit; its outcome goes to `reply`.
    pub fn edit(
        &mut self,
        now: Time,
        at: WallTime,
        edit: EditCommand,
        reply: ReplyTo<EditOutcome>,
    ) {
        let name = edit.name.clone();
        if self.remembered.len() >= MAX_REMEMBERED_EDITS {
            self.remembered.pop_front();
        }
        self.remembered.push_back((edit.edit_id, name.clone()));
        let proposal = Proposal {
            id: edit.edit_id,
            name: edit.name,
            if_match: edit.if_match.map_or(IfMatch::Absent, IfMatch::Revision),
            entry: edit.entry,
            author: edit.author,
            at,
        };
        let edit = Edit::new(proposal, self.keys.clone(), now + EDIT_TIMEOUT);
        self.submit(Task::Edit(Box::new(edit)), Waiting::Edit(name, reply));
    }

    /// Queries the state of an edit; the answer goes to `reply`.
    pub fn edit_state(&mut self, now: Time, id: EditId, reply: ReplyTo<Option<EditReply>>) {
        let mut remembered = self.remembered.iter();
        let name = remembered
            .find(|(edit, _)| *edit == id)
            .map(|(_, name)| name.clone());
        let daemon_author = (self.daemon_author.clone(), WallTime::default());
        let until = now + EDIT_TIMEOUT;
        let query = Query::new(id, name.clone(), daemon_author, self.keys.clone(), until);
        self.submit(Task::Query(query), Waiting::Query(id, name, reply));
    }

    fn submit(&mut self, task: Task, waiting: Waiting) {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        if self.editor.submit(ticket, task) {
            self.waiting.insert(ticket, waiting);
        } else {
            let reason = "too many edits wait at this daemon".to_owned();
            self.answer(waiting, Verdict::NotApplied { reason });
        }
    }

    fn handle_outputs(&mut self, outputs: Vec<Output>, actions: &mut Vec<Action>) {
        for output in outputs {
            match output {
                Output::Call(req) => actions.push(Action::Store(StoreUse::Edit, req)),
                Output::Done(ticket, verdict) => {
                    if let Some(waiting) = self.waiting.remove(&ticket) {
                        self.answer(waiting, verdict);
                    }
                }
            }
        }
    }

    fn answer(&self, waiting: Waiting, verdict: Verdict) {
        match waiting {
            Waiting::Edit(name, reply) => reply.send(self.outcome(&name, verdict)),
            Waiting::Query(id, name, reply) => reply.send(Some(state_of(id, name, verdict))),
        }
    }

    fn outcome(&self, name: &EntryName, verdict: Verdict) -> EditOutcome {
        match verdict {
            Verdict::Applied { revision } => EditOutcome::Applied { revision },
            Verdict::Conflict { .. } => {
                let record = self.catalogue().record(name);
                let current = record.map(|record| EntryReply::from_record(name, record));
                let current = current.map(Box::new);
                EditOutcome::Conflict { current }
            }
            Verdict::Invalid { problems } => EditOutcome::Invalid {
                problems: problems.iter().map(ToString::to_string).collect(),
            },
            Verdict::NotApplied { reason } => EditOutcome::NotApplied { reason },
            Verdict::Unknown { reason } => {
                tracing::warn!("catalogue: an edit of {name} has an unknown outcome: {reason}");
                EditOutcome::Unknown
            }
        }
    }

    /// The table's state, for the dump.
    #[must_use]
    pub fn dump(&self, now: Time) -> serde_json::Value {
        let catalogue = self.catalogue();
        let confirmed = self.sync.validated_at().map(|at| now.since(at).to_string());
        serde_json::json!({
            "revision": catalogue.revision(),
            "fleet_revision": self.sync.fleet_revision(),
            "records": catalogue.records().count(),
            "in_force": catalogue.entries().count(),
            "rejected": catalogue.rejected(),
            "digest": format!("{:032x}", catalogue.digest()),
            "confirmed_ago": confirmed,
            "reach": self.sync.reach(now),
            "watching": self.sync.is_watching(),
            "members": self.members.len(),
            "edits_waiting": self.editor.len(),
        })
    }
}

fn actions_of(effects: Vec<Effect>) -> Vec<Action> {
    let actions = effects.into_iter().filter_map(|effect| match effect {
        Effect::Send { to, message } => match message.encode() {
            Ok(bytes) => Some(Action::Send(to, bytes)),
            Err(e) => {
                tracing::error!("catalogue: {e}");
                None
            }
        },
        Effect::Store(req) => Some(Action::Store(StoreUse::Catalogue, req)),
        Effect::Watch => Some(Action::Watch),
        Effect::StopWatch => Some(Action::StopWatch),
        Effect::Applied(_) => Some(Action::Changed),
    });
    actions.collect()
}

fn state_of(edit_id: EditId, name: Option<EntryName>, verdict: Verdict) -> EditReply {
    let (state, revision, reason) = match verdict {
        Verdict::Applied { revision } => (EditState::Applied, Some(revision), None),
        Verdict::NotApplied { reason } => (EditState::NotApplied, None, Some(reason)),
        Verdict::Unknown { reason } => (EditState::Unknown, None, Some(reason)),
        Verdict::Conflict { .. } | Verdict::Invalid { .. } => (EditState::NotApplied, None, None),
    };
    EditReply {
        edit_id,
        name,
        state,
        revision,
        reason,
    }
}

/// The daemons' own name as the author of a record.
fn daemon_author() -> OperatorName {
    OperatorName::new("buckthorncross").expect("the literal is a valid operator name")
}
