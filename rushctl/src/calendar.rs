//! Maintenance windows out of an iCalendar file (RFC 5545). Parsing, time zones and
//! recurrence are the library's.

use chrono::{DateTime, Duration, Utc};
use icalendar::{Calendar, CalendarEvent, Component, DatePerhapsTime};
use residency::{DrainTarget, MaintenanceWindow, Name};
use thiserror::Error;

/// Most occurrences of one event within the time looked at.
const MAX_OCCURRENCES: u16 = 500;
/// Furthest that windows are read ahead, in days.
const MAX_DAYS: u64 = 3_650;

/// Why a file holds no maintenance windows. Nothing of such a file is used.
#[derive(Debug, Error)]
pub enum CalendarError {
    /// The file can't be read.
    #[error("{path}")]
    File {
        /// The file.
        path: String,
        /// The reason.
        source: std::io::Error,
    },
    /// The file is no iCalendar file.
    #[error("{path}: {reason}")]
    Syntax {
        /// The file.
        path: String,
        /// What the parser says.
        reason: String,
    },
    /// Some events are no maintenance windows; one line each.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    Events(Vec<EventProblem>),
    /// There is no event.
    #[error("{path}: there is no event in it")]
    NoEvent {
        /// The file.
        path: String,
    },
}

/// An event that is no maintenance window.
#[derive(Debug, Error)]
#[error("{path}: event {number} ({uid}): {error}")]
pub struct EventProblem {
    path: String,
    /// Counted from 1.
    number: usize,
    uid: String,
    error: EventError,
}

/// Why an event is no maintenance window.
#[derive(Debug, Error)]
pub enum EventError {
    /// It has no UID.
    #[error("UID is missing")]
    NoUid,
    /// Its SUMMARY names nothing to drain.
    #[error("SUMMARY is {0:?}, not `evacuate ZONE` or `drain ENGINE`")]
    Summary(String),
    /// A time is missing.
    #[error("{0} is missing")]
    NoTime(&'static str),
    /// A time is a day.
    #[error("{0} is a day; a window has times")]
    Day(&'static str),
    /// A time has no time zone, one that is not known, or falls into a gap of it.
    #[error("{0} is in no known time zone, or does not exist there")]
    TimeZone(&'static str),
    /// It ends before it begins.
    #[error("it ends before it begins")]
    Length,
    /// Its recurrence can't be read.
    #[error("RRULE: {0}")]
    Recurrence(String),
}

/// The windows of a file that end between now and `days` from now, each with its drain
/// beginning `ahead_s` seconds before its start.
pub fn read(path: &str, days: u64, ahead_s: u64) -> Result<Vec<MaintenanceWindow>, CalendarError> {
    let text = std::fs::read_to_string(path).map_err(|source| CalendarError::File {
        path: path.into(),
        source,
    })?;
    let calendar: Calendar = text.parse().map_err(|reason| CalendarError::Syntax {
        path: path.into(),
        reason,
    })?;
    let now = Utc::now();
    let until = now + Duration::days(days.min(MAX_DAYS) as i64);
    let (mut windows, mut problems, mut events) = (Vec::new(), Vec::new(), 0);
    for event in calendar.calendar_events() {
        events += 1;
        match occurrences(&event, now, until, ahead_s) {
            Ok(found) => windows.extend(found),
            Err(error) => problems.push(EventProblem {
                path: path.into(),
                number: events,
                uid: event.get_uid().unwrap_or("").into(),
                error,
            }),
        }
    }
    match (events, problems.is_empty()) {
        (0, _) => Err(CalendarError::NoEvent { path: path.into() }),
        (_, false) => Err(CalendarError::Events(problems)),
        _ => Ok(windows),
    }
}

/// The windows of one event that end after `now` and begin before `until`.
fn occurrences(
    event: &CalendarEvent<'_>,
    now: DateTime<Utc>,
    until: DateTime<Utc>,
    ahead_s: u64,
) -> Result<Vec<MaintenanceWindow>, EventError> {
    let uid = event.get_uid().filter(|uid| !uid.is_empty());
    let uid = uid.ok_or(EventError::NoUid)?;
    let target = target(event.get_summary().unwrap_or("").trim())?;
    let start = time(event.get_start(), "DTSTART")?;
    let length = time(event.get_end(), "DTEND")? - start;
    if length <= Duration::zero() {
        return Err(EventError::Length);
    }
    let recurrence = event
        .get_recurrence()
        .map_err(|error| EventError::Recurrence(error.to_string()))?;
    let zone = icalendar::rrule::Tz::UTC;
    let recurrence = recurrence
        .after((now - length).with_timezone(&zone))
        .before(until.with_timezone(&zone));
    let starts = recurrence.all(MAX_OCCURRENCES).dates.into_iter();
    let windows = starts.map(|start| MaintenanceWindow {
        id: Name(format!("{uid}@{}", start.timestamp())),
        target: target.clone(),
        starts_at_s: (start.timestamp() - ahead_s as i64).max(0) as u64,
        ends_at_s: (start + length).timestamp().max(0) as u64,
    });
    Ok(windows
        .filter(|window| window.ends_at_s as i64 > now.timestamp())
        .collect())
}

fn target(summary: &str) -> Result<DrainTarget, EventError> {
    match summary.split_once(' ') {
        Some(("evacuate", zone)) => Ok(DrainTarget::Zone(Name::from(zone.trim()))),
        Some(("drain", engine)) => Ok(DrainTarget::Engine(Name::from(engine.trim()))),
        _ => Err(EventError::Summary(summary.into())),
    }
}

fn time(found: Option<DatePerhapsTime>, name: &'static str) -> Result<DateTime<Utc>, EventError> {
    match found {
        Some(DatePerhapsTime::DateTime(time)) => {
            time.try_into_utc().ok_or(EventError::TimeZone(name))
        }
        Some(DatePerhapsTime::Date(_)) => Err(EventError::Day(name)),
        None => Err(EventError::NoTime(name)),
    }
}

/// One window as a line of text.
pub fn describe(window: &MaintenanceWindow) -> String {
    let at = |seconds: u64| {
        let time = DateTime::<Utc>::from_timestamp(seconds as i64, 0);
        time.map_or(String::new(), |time| time.to_rfc3339())
    };
    let what = match &window.target {
        DrainTarget::Zone(zone) => format!("evacuate {zone}"),
        DrainTarget::Engine(engine) => format!("drain {engine}"),
    };
    let (start, end) = (at(window.starts_at_s), at(window.ends_at_s));
    format!("{what} from {start} until {end}")
}
