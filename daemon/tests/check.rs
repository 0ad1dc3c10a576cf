//! `check`: what it prints, and its exit codes.

use std::fs;
use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

use serde_json::Value;

const CONFIG: &str = r#"{"version": 7,
 "routes": [
  {"name": "r-1", "hostname": "ficu95.example", "prefix": "/pufi/", "route-type": "streaming",
   "timeout-ms": 20000, "target-latency-ms": 2000, "service": "llm", "max-attempts": 3}],
 "services": [{"name": "llm", "connection-limit": 370}],
 "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
  "idle-timeout-ms": 15000},
 "tenants": [{"name": "hule", "api-keys": ["alpha-1"], "priority": 1}]}"#;

const SETTINGS: &str = r#"{"node-name": "daemon-1", "availability-zone": "east", "region": "here",
 "listen-addresses": {"frontend": "127.0.0.1:0", "ready": "127.0.0.1:0",
  "control-plane": "127.0.0.1:0"},
 "limits": {"memory-limit-mb": 110, "file-descriptors": 4100},
 "contract-bounds": {"retry-budget-ratio": 0.1, "retry-budget-allowance": 1},
 "platform-settings": {"address": "127.0.0.1:1"}}"#;

/// A folder with files, removed at the end.
struct Folder(PathBuf);

impl Folder {
    fn new(test: &str, files: &[(&str, &str)]) -> Self {
        let name = format!("check-{test}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir(&path).expect("a new folder");
        for (name, text) in files {
            fs::write(path.join(name), text).expect("a new file");
        }
        Self(path)
    }

    fn command(&self, words: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_buckthorncrossd"));
        command.arg("check").args(words).current_dir(&self.0);
        command.stdin(Stdio::null());
        command
    }

    /// The exit code and what is printed, errors last.
    fn check(&self, words: &[&str]) -> String {
        shown(&self.command(words).output().expect("it runs"))
    }

    fn check_input(&self, words: &[&str], input: &str) -> String {
        let mut command = self.command(words);
        command.stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command.stderr(Stdio::piped()).spawn().expect("it runs");
        let mut stdin = child.stdin.take().expect("a pipe");
        stdin.write_all(input.as_bytes()).expect("it reads");
        drop(stdin);
        shown(&child.wait_with_output().expect("it ends"))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn shown(output: &Output) -> String {
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).expect("text");
    let code = output.status.code().expect("an exit code");
    let (out, errors) = (text(&output.stdout), text(&output.stderr));
    format!("{out}{errors}exit code {code}")
}

/// A configuration with findings, and several differences from [`CONFIG`].
fn other() -> String {
    let other = CONFIG.replace("\"version\": 7", "\"version\": 8");
    let other = other.replace("\"timeout-ms\": 20000", "\"timeout-ms\": 1000");
    let other = other.replace("[\"alpha-1\"]", "[\"alpha-1\", \"beta-22\"]");
    other.replace(
        "{\"name\": \"llm\",",
        "{\"name\": \"a\\u001b[2J\", \"connection-limit\": 9},\n  {\"name\": \"llm\",",
    )
}

#[test]
fn findings_and_differences_are_printed() {
    let folder = Folder::new("text", &[("a.json", CONFIG), ("b.json", &other())]);
    insta::assert_snapshot!(folder.check(&["a.json"]), @r"
    a.json: no errors or warnings
    exit code 0
    ");
    insta::assert_snapshot!(folder.check(&["a.json", "--in-force", "a.json"]), @r"
    no differences from the configuration in force
    a.json: no errors or warnings
    exit code 0
    ");
    let changed = folder.check(&["b.json", "--in-force", "a.json"]);
    insta::assert_snapshot!("findings_and_differences", changed);
    // Differences alone are no findings.
    let older = CONFIG.replace("\"version\": 7", "\"version\": 6");
    let from_input = folder.check_input(&["a.json", "--in-force", "-"], &older);
    insta::assert_snapshot!(from_input, @r"
    differences from the configuration in force:
      configuration changed
          version: 6 -> 7
    a.json: no errors or warnings
    exit code 0
    ");
}

#[test]
fn programs_get_json() {
    let folder = Folder::new("json", &[("a.json", CONFIG), ("b.json", &other())]);
    insta::assert_snapshot!(folder.check(&["--json", "b.json", "--in-force", "a.json"]));
    insta::assert_snapshot!(folder.check(&["--json", "absent.json"]), @r#"
    {
      "file": "absent.json",
      "unreadable": "absent.json: cannot be read: No such file or directory (os error 2)"
    }
    exit code 2
    "#);
}

#[test]
fn attempts_are_compared_with_what_the_command_line_tells() {
    let folder = Folder::new("known", &[("a.json", CONFIG), ("settings.yaml", SETTINGS)]);
    let words = [
        "a.json",
        "--settings",
        "settings.yaml",
        "--upstreams",
        "llm=2",
    ];
    insta::assert_snapshot!(folder.check(&words));
    let enough = ["a.json", "--upstreams", "llm=3", "--upstreams", "app=1"];
    assert!(folder.check(&enough).ends_with("exit code 0"));
}

#[test]
fn errors_have_the_daemons_message_and_their_place() {
    let folder = Folder::new(
        "errors",
        &[("slash.json", &CONFIG.replace("/pufi/", "/pufi"))],
    );
    insta::assert_snapshot!(folder.check(&["slash.json"]), @r#"
    slash.json:3:3: error: routes[0]: op/config: route r-1: prefix "/pufi" must begin and end with a slash [refused]
    slash.json: 1 error
    exit code 1
    "#);
    let soon = CONFIG.replace("20000", "\"soon\"");
    for words in [&["-"][..], &["--", "-"]] {
        insta::allow_duplicates! {
            insta::assert_snapshot!(folder.check_input(words, &soon), @r#"
            standard input:4:23: error: routes[0].timeout-ms: op/config: invalid type: string "soon", expected f64 at line 4 column 23 [refused]
            standard input: 1 error
            exit code 1
            "#);
        }
    }
    let json = folder.check_input(&["-", "--json"], &soon);
    let json = json.strip_suffix("exit code 1").expect("refused");
    let json = serde_json::from_str::<Value>(json).expect("JSON");
    assert_eq!(json["errors"]["items"][0]["path"], "routes[0].timeout-ms");
}

/// A script takes the exit code 1 for findings in a file that was read.
#[test]
fn what_cannot_be_read_has_a_code_of_its_own() {
    let files = [
        ("a.json", CONFIG),
        ("empty.json", " \n"),
        ("cut.json", &CONFIG[..200]),
    ];
    let folder = Folder::new("unreadable", &files);
    let commands: [&[&str]; 9] = [
        &["absent.json"],
        &["."],
        &["empty.json"],
        &["cut.json"],
        &["a.json", "--in-force", "cut.json"],
        &["a.json", "--in-force", "absent.json"],
        &["-", "--in-force", "-"],
        &["a.json", "--settings", "absent.yaml"],
        &["a.json", "--upstreams", "llm"],
    ];
    let printed = commands.map(|words| format!("{words:?}\n{}\n", folder.check(words)));
    insta::assert_snapshot!(printed.join("\n"));
    assert!(folder.check(&[]).ends_with("exit code 2"));
    assert!(folder.check(&["--help"]).ends_with("exit code 0"));
}

/// The command stops reading, so that a large file costs it neither memory nor time.
#[test]
fn large_input_is_not_taken_whole() {
    let folder = Folder::new("large", &[]);
    let mut command = folder.command(&["-"]);
    command.stdin(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().expect("it runs");
    let mut stdin = child.stdin.take().expect("a pipe");
    let chunk = vec![b'['; 64 << 10];
    let chunks = (100 << 20) / chunk.len();
    let taken = (0..chunks).take_while(|_| stdin.write_all(&chunk).is_ok());
    let taken = taken.count() * chunk.len();
    assert!(taken < 8 << 20, "{taken} bytes taken");
    insta::assert_snapshot!(shown(&child.wait_with_output().expect("it ends")), @r"
    error: standard input: is larger than 4MiB, the largest configuration that is checked
    exit code 2
    ");
}
