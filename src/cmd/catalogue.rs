//! `catalogue`: lists, prints, writes and removes entries, and lists their past edits.
//!
//! `get` prints the revision of each entry as a comment, and `put` sends that revision as a
//! condition. An edit thus fails if the entry has changed since its author read it, however
//! long ago that was.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::sync::Arc;

use adminapi::entry::{CatalogueReply, EntryReply, HistoryReply};
use adminapi::path;
use attohttpc::Method;
use catalogue::entry::{Body, Entry};
use catalogue::file;
use eyre::WrapErr;
use serde::Deserialize;
use types::prelude::*;

use crate::cli::CatalogueCommand;
use crate::client::{Client, EditRequest};
use crate::cmd::status;
use crate::failure::Failure;
use crate::output::{Output, print_table, table};

const REVISION_COMMENT: &str = "# revision ";
const WAIT_TIMEOUT: Span = Span::from_secs(60);

pub(super) fn run(
    client: &Client,
    output: &Output,
    command: CatalogueCommand,
) -> Result<(), Failure> {
    match command {
        CatalogueCommand::List(_) => list(client, output),
        CatalogueCommand::Get(args) => get(client, output, &args.names),
        CatalogueCommand::Put(args) => put(client, output, &args.file, args.wait),
        CatalogueCommand::Remove(args) => remove(client, output, args.name, args.revision),
        CatalogueCommand::History(args) => history(client, output, &args.name),
    }
}

fn list(client: &Client, output: &Output) -> Result<(), Failure> {
    let reply: CatalogueReply = client.get(path::CATALOGUE)?;
    output.reply(&reply, |reply| {
        let mut rows = table(["NAME", "OWNER", "REVISION", "BY", "AT"]);
        for entry in &reply.entries {
            rows.add_row([
                entry.name.to_string(),
                entry.owner.to_string(),
                entry.revision.to_string(),
                entry.author.to_string(),
                entry.at.to_string(),
            ]);
        }
        print_table(&rows);
        println!("catalogue at revision {}", reply.revision);
        for held in &reply.held_back {
            println!("{}: revision {} is not in force:", held.name, held.revision);
            held.problems
                .iter()
                .for_each(|problem| println!("  {problem}"));
        }
    })
}

fn get(client: &Client, output: &Output, names: &[EntryName]) -> Result<(), Failure> {
    let fetched = names.iter().map(|name| client.get(&path::entry(name)));
    let replies: Vec<EntryReply> = fetched.collect::<Result<_, _>>()?;
    let standing = replies
        .iter()
        .filter_map(|r| Some((r.name.clone(), r.entry.clone()?)));
    let entries: BTreeMap<EntryName, Arc<Entry>> = standing.collect();
    let text = file::write(&entries).wrap_err("the entries cannot be written as YAML")?;
    output.reply(&replies, |replies| {
        for reply in replies {
            println!("{REVISION_COMMENT}{} {}", reply.name, reply.revision);
        }
        print!("{text}");
    })
}

/// A file of entries, not yet checked.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Outline {
    entries: BTreeMap<EntryName, serde_norway::Value>,
}

fn put(client: &Client, output: &Output, from: &Path, wait: bool) -> Result<(), Failure> {
    let text =
        fs::read_to_string(from).wrap_err_with(|| format!("{} cannot be read", from.display()))?;
    let revisions = parse_revision_comments(&text);
    let mut last = Revision::default();
    for (name, entry) in read_entries(from, &text)? {
        let call = EditRequest {
            method: Method::PUT,
            path: path::entry(&name),
            if_match: revisions.get(&name).copied(),
            name,
            body: entry,
        };
        let reply = client.edit(&call)?;
        last = last.max(reply.revision.unwrap_or_default());
        output.edited(&reply)?;
    }
    if wait {
        status::wait(client, last, WAIT_TIMEOUT).map(|_| ())
    } else {
        Ok(())
    }
}

/// Reads the entries of a file, sorted so that each comes after the entries that it refers to.
fn read_entries(from: &Path, text: &str) -> Result<Vec<(EntryName, Entry)>, Failure> {
    let expected = || {
        format!(
            "{}: expected a map `entries:` from names to entries",
            from.display()
        )
    };
    let outline: Outline = serde_norway::from_str(text).wrap_err_with(expected)?;
    let mut entries = Vec::new();
    for (name, value) in outline.entries {
        let entry = file::parse_entry(&name, value);
        let entry = entry.map_err(|problem| eyre::eyre!("{}: {problem}", from.display()))?;
        entries.push((name, entry));
    }
    entries.sort_by_key(|(_, entry)| dependency_rank(&entry.body));
    Ok(entries)
}

fn dependency_rank(body: &Body) -> u8 {
    match body {
        Body::Customer(_) => 0,
        Body::Service(_) => 1,
        Body::Model(_) => 2,
        Body::Offer(_) => 3,
    }
}

fn parse_revision_comments(text: &str) -> BTreeMap<EntryName, Revision> {
    let notes = text
        .lines()
        .filter_map(|line| line.strip_prefix(REVISION_COMMENT));
    let pairs = notes.filter_map(|note| note.split_once(' '));
    let parsed = pairs
        .filter_map(|(name, revision)| Some((name.parse().ok()?, revision.trim().parse().ok()?)));
    parsed.collect()
}

fn remove(
    client: &Client,
    output: &Output,
    name: EntryName,
    revision: Option<Revision>,
) -> Result<(), Failure> {
    let revision = match revision {
        Some(revision) => revision,
        None => client.get::<EntryReply>(&path::entry(&name))?.revision,
    };
    let reply = client.edit(&EditRequest {
        method: Method::DELETE,
        path: path::entry(&name),
        name,
        if_match: Some(revision),
        body: (),
    })?;
    output.edited(&reply)
}

fn history(client: &Client, output: &Output, name: &EntryName) -> Result<(), Failure> {
    let reply: HistoryReply = client.get(&path::history(name))?;
    output.reply(&reply, |reply| {
        let mut rows = table(["REVISION", "BY", "AT", "EDIT"]);
        for edit in &reply.edits {
            rows.add_row([
                edit.revision.to_string(),
                edit.author.to_string(),
                edit.at.to_string(),
                edit.edit_id.to_string(),
            ]);
        }
        print_table(&rows);
    })
}
