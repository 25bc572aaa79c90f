//! The files and folders that CONTRIBUTING.md names exist.

use std::path::Path;

const PAGE: &str = include_str!("../../CONTRIBUTING.md");
const ENDS: [&str; 5] = [".rs", ".md", ".toml", ".json", "/"];

/// What stands between backticks or as the target of a link.
fn mentions(page: &str) -> Vec<&str> {
    let code = page.split('`').skip(1).step_by(2);
    let links = page
        .split("](")
        .skip(1)
        .filter_map(|rest| rest.split(')').next());
    code.chain(links).flat_map(str::split_whitespace).collect()
}

fn is_path(word: &str) -> bool {
    let is_named = ENDS.iter().any(|end| word.ends_with(end)) || word.contains("/src/");
    is_named && !word.starts_with("target/")
}

#[test]
fn every_file_that_the_page_names_exists() {
    let root = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.."));
    let paths: Vec<&str> = mentions(PAGE)
        .into_iter()
        .filter(|word| is_path(word))
        .collect();
    assert!(paths.len() > 40, "the page names {} files", paths.len());
    // `tests/` and the like stand for a folder of each package.
    let is_there =
        |path: &&&str| root.join(path).exists() || root.join("testbed").join(path).exists();
    let missing: Vec<&&str> = paths.iter().filter(|path| !is_there(path)).collect();
    assert!(
        missing.is_empty(),
        "CONTRIBUTING.md names what is not there: {missing:?}"
    );
}
