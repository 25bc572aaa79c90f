//! The step responses that docs/controllers.md shows.

use placement::{RetryTokenBucket, SlowStart};

/// The step responses that docs/controllers.md shows are the controllers'.
#[test]
fn the_page_shows_these_step_responses() {
    let row = |name: &str, values: Vec<u64>| {
        let values: Vec<String> = values.iter().map(|value| value.to_string()).collect();
        format!("| {name} | {} |", values.join(" | "))
    };
    let mut rows = Vec::new();
    let limits = (0..=24)
        .step_by(4)
        .map(|responses| SlowStart::after_responses(responses).limit(7).into());
    rows.push(row("limit", limits.collect()));
    let mut retries = RetryTokenBucket::default();
    let (mut spent, mut marks) = (0, Vec::new());
    for request in 1..=1000 {
        retries.deposit(request * 100, 0.2);
        spent += u64::from(retries.try_withdraw(request * 100));
        if [1, 5, 10, 50, 100, 500, 1000].contains(&request) {
            marks.push(spent);
        }
    }
    rows.push(row("retries", marks));
    let page = include_str!("../../docs/controllers.md");
    for row in rows {
        assert!(page.contains(&row), "the page lacks {row}");
    }
}
