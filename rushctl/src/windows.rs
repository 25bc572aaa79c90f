//! Maintenance windows out of an iCalendar file. Parsing, time zones and repeats
//! are the library's.

use anyhow::{anyhow, bail, Context};
use chrono::{DateTime, Duration, Utc};
use icalendar::{Calendar, Component, DatePerhapsTime};
use simd_json::prelude::*;
use simd_json::{json, OwnedValue};

/// Most occurrences of one event within the time looked at.
const MOST: u16 = 500;

fn time(found: Option<DatePerhapsTime>, name: &str) -> anyhow::Result<DateTime<Utc>> {
    match found {
        Some(DatePerhapsTime::DateTime(time)) => time.try_into_utc().ok_or(anyhow!(
            "{name} is in no known time zone, or does not exist there"
        )),
        Some(DatePerhapsTime::Date(_)) => bail!("{name} is a day; a window has times"),
        None => bail!("{name} is missing"),
    }
}

/// The windows of a file that end between now and `days` from now, each to be
/// emptied `ahead` seconds before its start.
pub fn read(path: &str, days: u64, ahead: u64) -> anyhow::Result<Vec<OwnedValue>> {
    let text = std::fs::read_to_string(path).with_context(|| path.to_string())?;
    let calendar: Calendar = text
        .parse()
        .map_err(|text: String| anyhow!("{path}: {text}"))?;
    let now = Utc::now();
    let limit = now + Duration::days(days.min(3_650) as i64);
    let mut windows = Vec::new();
    let mut complaints = Vec::new();
    let mut count = 0;
    for event in calendar.calendar_events() {
        count += 1;
        let uid = event.get_uid().unwrap_or("").to_string();
        let place = format!("{path}: event {count} ({uid})");
        let mut one = || -> anyhow::Result<()> {
            anyhow::ensure!(!uid.is_empty(), "UID is missing");
            let summary = event.get_summary().unwrap_or("").trim().to_string();
            let (field, name) = match summary.split_once(' ') {
                Some(("evacuate", zone)) => ("zone", zone.trim()),
                Some(("drain", engine)) => ("engine", engine.trim()),
                _ => bail!("SUMMARY is {summary:?}, not `evacuate ZONE` or `drain ENGINE`"),
            };
            let start = time(event.get_start(), "DTSTART")?;
            let length = time(event.get_end(), "DTEND")? - start;
            anyhow::ensure!(length > Duration::zero(), "it ends before it begins");
            let repeats = event
                .get_recurrence()
                .map_err(|error| anyhow!("RRULE: {error}"))?;
            let zone = icalendar::rrule::Tz::UTC;
            let repeats = repeats
                .after((now - length).with_timezone(&zone))
                .before(limit.with_timezone(&zone));
            for start in repeats.all(MOST).dates {
                let (from, until) = (
                    start.timestamp() - ahead as i64,
                    (start + length).timestamp(),
                );
                if until <= now.timestamp() {
                    continue;
                }
                windows.push(json!({
                    "id": format!("{uid}@{}", start.timestamp()),
                    field: name.to_string(),
                    "from": from.max(0) as u64,
                    "until": until as u64,
                }));
            }
            Ok(())
        };
        if let Err(error) = one() {
            complaints.push(format!("{place}: {error:#}"));
        }
    }
    if count == 0 {
        complaints.push(format!("{path}: there is no event in it"));
    }
    anyhow::ensure!(complaints.is_empty(), "{}", complaints.join("\n"));
    Ok(windows)
}

/// One window in words.
pub fn describe(window: &OwnedValue) -> String {
    let at = |name: &str| {
        let seconds = window.get(name).and_then(|v| v.as_u64()).unwrap_or(0);
        DateTime::<Utc>::from_timestamp(seconds as i64, 0).map_or(String::new(), |t| t.to_rfc3339())
    };
    let (zone, engine) = (window.get("zone"), window.get("engine"));
    let what = match (
        zone.and_then(|v| v.as_str()),
        engine.and_then(|v| v.as_str()),
    ) {
        (Some(zone), _) => format!("evacuate {zone}"),
        (_, engine) => format!("drain {}", engine.unwrap_or("")),
    };
    format!("{what} from {} until {}", at("from"), at("until"))
}
