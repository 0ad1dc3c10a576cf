//! Handlers for entries of the catalogue and their edits.
//!
//! An edit is conditional on the revision that its author has read (`If-Match`). If two operators
//! edit at once, the second gets the current entry instead of silently overwriting it.

use std::sync::Arc;
use std::time::Duration;

use adminapi::edit::{EditReply, EditState};
use adminapi::entry::EntryReply;
use adminapi::error::{ErrorBody, ErrorCode};
use adminapi::path;
use catalogue::diff;
use catalogue::edit::make_id;
use catalogue::entry::Entry;
use catalogue::file;
use rouille::{Request, Response};
use types::prelude::*;

use crate::command::{Command, Edit, EditOutcome};
use crate::reply::{Answer, fail, json};
use crate::routes::{Api, read_body};

/// Must exceed the store's timeout plus the time to read the entry back after a lost reply.
const EDIT_TIMEOUT: Duration = Duration::from_secs(20);

impl Api {
    pub(super) fn list_entries(&self) -> Answer {
        json(&self.ask(Command::Catalogue)?)
    }

    pub(super) fn get_entry(&self, kind: &str, name: &str) -> Answer {
        let name = entry_name(kind, name)?;
        let reply = self.existing_entry(&name)?;
        let etag = path::etag(reply.revision);
        Ok(json(&reply)?.with_additional_header("ETag", etag))
    }

    /// Reads an existing entry; a removed one is reported as not found.
    pub(super) fn existing_entry(&self, name: &EntryName) -> Result<EntryReply, Box<ErrorBody>> {
        let found = self.ask(|tx| Command::Entry(name.clone(), tx))?;
        match found {
            Some(reply) if reply.entry.is_some() => Ok(reply),
            Some(removed) => fail(
                ErrorCode::NotFound,
                format!("{name} was removed by {} at {}", removed.author, removed.at),
                "its edits are under /history; put it again without If-Match",
            ),
            None => fail(
                ErrorCode::NotFound,
                format!("there is no entry {name}"),
                "GET /catalogue lists the entries",
            ),
        }
    }

    pub(super) fn get_history(&self, kind: &str, name: &str) -> Answer {
        let name = entry_name(kind, name)?;
        match self.ask(|tx| Command::History(name.clone(), tx))? {
            Some(reply) => json(&reply),
            None => fail(
                ErrorCode::NotFound,
                format!("there never was an entry {name}"),
                "GET /catalogue lists the entries",
            ),
        }
    }

    pub(super) fn put_entry(
        &self,
        req: &Request,
        operator: &OperatorName,
        kind: &str,
        name: &str,
    ) -> Answer {
        let name = entry_name(kind, name)?;
        let entry = parse_entry(&name, &read_body(req)?)?;
        let if_match = if_match(req)?;
        let edit = Edit {
            name,
            entry: Some(Arc::new(entry)),
            if_match,
            author: operator.clone(),
            edit_id: edit_id(req, if_match)?,
        };
        self.edit(edit)
    }

    pub(super) fn remove_entry(
        &self,
        req: &Request,
        operator: &OperatorName,
        kind: &str,
        name: &str,
    ) -> Answer {
        let name = entry_name(kind, name)?;
        let Some(revision) = if_match(req)? else {
            let current = self.existing_entry(&name)?;
            return Err(precondition_required(&name, Some(Box::new(current))));
        };
        let edit = Edit {
            name,
            entry: None,
            if_match: Some(revision),
            author: operator.clone(),
            edit_id: edit_id(req, Some(revision))?,
        };
        self.edit(edit)
    }

    /// Submits an edit and answers with its outcome.
    pub(super) fn edit(&self, edit: Edit) -> Answer {
        let rx = self.submit(|tx| Command::Edit(edit.clone(), tx))?;
        // A submitted edit without an answer may still take effect.
        let outcome = rx
            .recv_timeout(EDIT_TIMEOUT)
            .unwrap_or(EditOutcome::Unknown);
        edit_answer(&edit, outcome)
    }

    pub(super) fn get_edit(&self, id: &str) -> Answer {
        let Ok(id) = id.parse::<EditId>() else {
            return bad_edit_id(id);
        };
        match self.ask(|tx| Command::EditState(id, tx))? {
            Some(reply) => json(&reply),
            None => fail(
                ErrorCode::NotFound,
                format!("this daemon has no trace of edit {id}"),
                "ask the daemon that took the edit, or look in the entry's history: an edit \
                 that is not there a minute after it was sent has not been applied so far",
            ),
        }
    }
}

fn edit_answer(edit: &Edit, outcome: EditOutcome) -> Answer {
    let name = &edit.name;
    match outcome {
        EditOutcome::Applied { revision } => applied(edit, revision),
        EditOutcome::Conflict { current } => Err(conflict(edit, current)),
        EditOutcome::Invalid { problems } => {
            let message = format!("{name} would break rules; nothing was written");
            let hint = "mend the entry, or put first what it refers to";
            let mut body = ErrorBody::new(ErrorCode::InvalidEntry, message, hint);
            body.problems = problems;
            Err(Box::new(body))
        }
        EditOutcome::NotApplied { reason } => {
            let message = format!("{name} was not changed: {reason}");
            let hint = "nothing was written and nothing will be; try again";
            let mut body = ErrorBody::new(ErrorCode::NotApplied, message, hint);
            body.edit_id = Some(edit.edit_id);
            Err(Box::new(body))
        }
        EditOutcome::Unknown => {
            let message = format!(
                "it is not known whether edit {} of {name} took effect",
                edit.edit_id
            );
            let hint = format!(
                "ask GET {} until it is known; the same edit sent again with this X-Edit-Id \
                 and If-Match is applied at most once",
                path::edit(edit.edit_id)
            );
            let mut body = ErrorBody::new(ErrorCode::OutcomeUnknown, message, hint);
            body.edit_id = Some(edit.edit_id);
            Err(Box::new(body))
        }
    }
}

fn applied(edit: &Edit, revision: Revision) -> Answer {
    let reply = EditReply {
        edit_id: edit.edit_id,
        name: Some(edit.name.clone()),
        state: EditState::Applied,
        revision: Some(revision),
        reason: None,
    };
    let response: Response = json(&reply)?
        .with_additional_header(path::EDIT_ID_HEADER, edit.edit_id.to_string())
        .with_additional_header("ETag", path::etag(revision));
    Ok(response)
}

fn conflict(edit: &Edit, current: Option<Box<EntryReply>>) -> Box<ErrorBody> {
    let exists = current.as_ref().is_some_and(|reply| reply.entry.is_some());
    if edit.if_match.is_none() && exists {
        return precondition_required(&edit.name, current);
    }
    let name = &edit.name;
    let message = match &current {
        Some(reply) if reply.entry.is_some() => format!(
            "{name} is at revision {} by {} now; nothing was written",
            reply.revision, reply.author
        ),
        Some(reply) => format!(
            "{name} was removed by {}; nothing was written",
            reply.author
        ),
        None => format!("{name} does not exist; nothing was written"),
    };
    let hint = "read the entry, make the change again on what stands now, and send it with \
                that ETag in If-Match (none for an entry that is absent)";
    let mut body = ErrorBody::new(ErrorCode::Conflict, message, hint);
    let current_entry = current.as_ref().and_then(|reply| reply.entry.as_deref());
    body.difference = diff::between(current_entry, edit.entry.as_deref());
    body.current = current;
    Box::new(body)
}

fn precondition_required(name: &EntryName, current: Option<Box<EntryReply>>) -> Box<ErrorBody> {
    let message = format!("{name} exists; an edit must say which revision it changes");
    let hint = "read the entry and send its ETag in If-Match";
    let mut body = ErrorBody::new(ErrorCode::PreconditionRequired, message, hint);
    body.current = current;
    Box::new(body)
}

/// Builds the name of an entry from the parts of its path.
fn entry_name(kind: &str, name: &str) -> Result<EntryName, Box<ErrorBody>> {
    EntryName::new(&format!("{kind}/{name}")).or_else(|e| {
        fail(
            ErrorCode::InvalidRequest,
            format!("{kind}/{name} cannot name an entry: {e}"),
            "names are KIND/NAME, as offers/brief-writer",
        )
    })
}

fn parse_entry(name: &EntryName, body: &[u8]) -> Result<Entry, Box<ErrorBody>> {
    let json: serde_json::Value = serde_json::from_slice(body).or_else(|e| {
        fail(
            ErrorCode::InvalidRequest,
            format!("the body is not JSON: {e}"),
            "send the entry as JSON; `buckthorncross catalogue put FILE` takes YAML",
        )
    })?;
    let value = serde_norway::to_value(json).or_else(|e| {
        fail(
            ErrorCode::InvalidRequest,
            format!("the body cannot be read: {e}"),
            "mend the entry",
        )
    })?;
    file::parse_entry(name, value).map_err(|problem| {
        let message = format!("{name} cannot be read; nothing was written");
        let hint = "docs/OPERATIONS.md lists the fields of each kind";
        let mut body = ErrorBody::new(ErrorCode::InvalidEntry, message, hint);
        body.problems = vec![problem.to_string()];
        Box::new(body)
    })
}

fn if_match(req: &Request) -> Result<Option<Revision>, Box<ErrorBody>> {
    let Some(text) = req.header("If-Match") else {
        return Ok(None);
    };
    match path::parse_etag(text) {
        Some(revision) => Ok(Some(revision)),
        // `*` is refused because it would overwrite an edit that the author has not read.
        None => fail(
            ErrorCode::InvalidRequest,
            format!("If-Match {text} is not a revision"),
            "send the ETag of the entry as it was read, as \"42\", quotes included",
        ),
    }
}

/// Returns the id sent with the edit, else a new one for an edit made after revision `seen`.
pub(super) fn edit_id(req: &Request, seen: Option<Revision>) -> Result<EditId, Box<ErrorBody>> {
    match req.header(path::EDIT_ID_HEADER) {
        None => Ok(make_id(seen.unwrap_or_default(), &mut rand::rng())),
        Some(text) => text.parse().or_else(|_| bad_edit_id(text)),
    }
}

fn bad_edit_id<T>(text: &str) -> Result<T, Box<ErrorBody>> {
    fail(
        ErrorCode::InvalidRequest,
        format!("{text:?} is not the id of an edit"),
        "ids are up to 32 hexadecimal digits, as in X-Edit-Id of an answer",
    )
}
