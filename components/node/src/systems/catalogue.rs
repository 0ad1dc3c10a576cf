//! Holds the catalogue, spreads it and edits it.
//!
//! Tables of [`catalogue`] and what they ask for; the control thread does it.

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

/// An edit or a question about one is settled within, or its outcome is unknown.
const EDIT_PATIENCE: Span = Span::from_secs(10);

/// Edits of this daemon whose entry is remembered, for questions by id.
const MAX_REMEMBERED: usize = 1024;

/// What the tables ask the control thread to do.
#[derive(Debug)]
pub enum Action {
    /// Call the store.
    Store(StoreUse, Request),
    /// Send bytes to a daemon; they may be lost.
    Send(DaemonId, Bytes),
    /// Begin to watch the store.
    Watch,
    /// Stop watching it.
    StopWatch,
    /// The catalogue changed.
    Changed,
}

/// The catalogue, its edits and who waits for them.
pub struct Table {
    keys: Keys,
    /// Author of the markers of edits that were given up.
    asker: OperatorName,
    sync: Sync,
    editor: Editor,
    rng: StdRng,
    members: Vec<Member>,
    waiting: BTreeMap<Ticket, Waiting>,
    tickets: u64,
    remembered: VecDeque<(EditId, EntryName)>,
}

/// Who waits for a verdict.
enum Waiting {
    Edit(EntryName, ReplyTo<EditOutcome>),
    Query(EditId, Option<EntryName>, ReplyTo<Option<EditReply>>),
}

impl Table {
    /// Empty, for a daemon.
    #[must_use]
    pub fn new(settings: &Settings, seed: u64) -> Self {
        let me = Member {
            id: settings.daemon.clone(),
            failure_domain: settings.failure_domain.clone(),
        };
        Self {
            keys: Keys::new(&settings.cluster),
            asker: asker(),
            sync: Sync::new(Config::new(me.id.clone(), &settings.cluster)),
            editor: Editor::default(),
            rng: StdRng::seed_from_u64(seed),
            members: vec![me],
            waiting: BTreeMap::new(),
            tickets: 0,
            remembered: VecDeque::new(),
        }
    }

    /// The catalogue held.
    #[must_use]
    pub fn catalogue(&self) -> &Catalogue {
        self.sync.catalogue()
    }

    /// Spreading and freshness.
    #[must_use]
    pub fn sync(&self) -> &Sync {
        &self.sync
    }

    /// Someone waits until a revision is in force everywhere.
    pub fn wait_for(&mut self, now: Time, revision: Revision, patience: Span) {
        self.sync.wait_for(revision, now + patience);
    }

    /// The catalogue indexed for serving.
    #[must_use]
    pub fn view(&self) -> View {
        View::from_catalogue(self.catalogue())
    }

    /// The live daemons, this one included.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Takes the live daemons, this one included.
    pub fn set_members(&mut self, members: Vec<Member>) {
        self.members = members;
    }

    /// Takes another daemon's report, which came so long ago.
    pub fn report(&mut self, now: Time, daemon: &DaemonId, revision: Revision, age: Span) {
        self.sync.report(now, daemon, revision, age);
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let effects = self.sync.tick(now, &self.members, &mut self.rng);
        let outputs = self.editor.tick(now);
        let mut actions = actions_of(effects);
        self.take_outputs(outputs, &mut actions);
        actions
    }

    /// Takes bytes of another daemon; what cannot be read is dropped.
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

    /// Takes changes that a watch told of.
    pub fn on_watch(&mut self, now: Time, events: &[WatchEvent]) -> Vec<Action> {
        actions_of(self.sync.on_watch(now, events, &mut self.rng))
    }

    /// Takes the outcome of a read.
    pub fn on_store(&mut self, now: Time, outcome: Outcome) -> Vec<Action> {
        actions_of(self.sync.on_store(now, outcome, &mut self.rng))
    }

    /// Takes the outcome of a step of an edit.
    pub fn on_edit_step(&mut self, now: Time, outcome: Outcome) -> Vec<Action> {
        let known = self.sync.known(now);
        let outputs = self.editor.on_outcome(now, outcome, known, &mut self.rng);
        let learned = self.editor.take_learned();
        let mut actions = actions_of(self.sync.learn(learned, &mut self.rng));
        self.take_outputs(outputs, &mut actions);
        actions
    }

    /// Begins an edit; its outcome is sent to whoever waits.
    pub fn edit(
        &mut self,
        now: Time,
        at: WallTime,
        edit: EditCommand,
        reply: ReplyTo<EditOutcome>,
    ) {
        let name = edit.name.clone();
        if self.remembered.len() >= MAX_REMEMBERED {
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
        let edit = Edit::new(proposal, self.keys.clone(), now + EDIT_PATIENCE);
        self.submit(Task::Edit(Box::new(edit)), Waiting::Edit(name, reply));
    }

    /// Asks what became of an edit; the answer is sent to whoever waits.
    pub fn edit_state(&mut self, now: Time, id: EditId, reply: ReplyTo<Option<EditReply>>) {
        let mut remembered = self.remembered.iter();
        let name = remembered
            .find(|(edit, _)| *edit == id)
            .map(|(_, name)| name.clone());
        let asker = (self.asker.clone(), WallTime::default());
        let until = now + EDIT_PATIENCE;
        let query = Query::new(id, name.clone(), asker, self.keys.clone(), until);
        self.submit(Task::Query(query), Waiting::Query(id, name, reply));
    }

    fn submit(&mut self, task: Task, waiting: Waiting) {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        if self.editor.submit(ticket, task) {
            self.waiting.insert(ticket, waiting);
        } else {
            let reason = "too many edits wait at this daemon".to_owned();
            self.answer(waiting, Verdict::NotApplied { reason });
        }
    }

    fn take_outputs(&mut self, outputs: Vec<Output>, actions: &mut Vec<Action>) {
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

    /// The tables' state, for the dump.
    #[must_use]
    pub fn dump(&self, now: Time) -> serde_json::Value {
        let catalogue = self.catalogue();
        let confirmed = self.sync.confirmed().map(|at| now.since(at).to_string());
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

/// The daemons themselves, as an author.
fn asker() -> OperatorName {
    OperatorName::new("buckthorncross").expect("letters are a name")
}
