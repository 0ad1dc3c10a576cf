//! The reference page of the settings matches the types.

use std::path::Path;

/// If a key is added without updating the page, operators do not learn of it. The page is generated
/// and compared with the stored one; with the environment variable set, it is written first.
#[test]
fn can_find_every_setting_on_the_page() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    let made = settings::reference::page();
    if std::env::var_os("BUCKTHORNCROSS_WRITE_DOCS").is_some() {
        std::fs::write(&path, &made).unwrap();
    }
    let page = std::fs::read_to_string(&path).unwrap_or_default();
    let stale = "docs/SETTINGS.md is stale: run \
                 BUCKTHORNCROSS_WRITE_DOCS=1 cargo test -p settings --test reference";
    assert!(page == made, "{stale}");
}
