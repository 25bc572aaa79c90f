//! Parsing a route.

use super::statement::Statement;
use crate::error::{CompileErrorKind, Parsed};
use crate::route_index::RouteIndex;
use crate::{Ingress, PromptPrefix, Route, Target, WeightedService};

/// The time to the head of a response where a route states none.
const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// The most bytes of a text that count as a prompt's prefix.
const MAX_PREFIX_BYTES: usize = 16_384;

/// The least urgent, as it is written; the code counts from 0.
const MAX_URGENCY: usize = 10;

/// The most engines that a route may let one request be sent to.
const MAX_ATTEMPTS: usize = 16;

/// The most that a share of a split may be.
const MAX_WEIGHT: u32 = 1_000_000;

const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/// `NAME on DOOR METHOD "/PATH" to TARGET once|repeatable [CLAUSE ...]`, after the word
/// `route`.
pub(crate) fn parse_route(
    statement: &mut Statement,
    ingresses: &[Ingress],
    known: &RouteIndex,
) -> Parsed<Route> {
    let mut route = parse_terms(statement, ingresses, known)?;
    while !statement.is_at_end() {
        parse_clause(statement, &mut route)?;
    }
    match known.same_match(&route) {
        None => Ok(route),
        Some(other) => {
            let other = other.to_string();
            statement.error(CompileErrorKind::SameHostAndPath(other))
        }
    }
}

/// Everything before the clauses.
fn parse_terms(
    statement: &mut Statement,
    ingresses: &[Ingress],
    known: &RouteIndex,
) -> Parsed<Route> {
    let name = statement.name()?;
    if known.has_name(&name) {
        return statement.error(CompileErrorKind::DuplicateRoute(name));
    }
    statement.keyword("on")?;
    let ingress_name = statement.name()?;
    let mut names = ingresses.iter().map(|ingress| &ingress.name);
    let Some(index) = names.position(|name| *name == ingress_name) else {
        return statement.error(CompileErrorKind::UnknownIngress(ingress_name));
    };
    let ingress = &ingresses[index];
    let method = parse_method(statement)?;
    let (path, is_path_prefix) = parse_route_path(statement, ingress)?;
    let target = parse_target(statement, ingress)?;
    let is_idempotent = match statement.word("`once` or `repeatable`")?.as_str() {
        "once" => false,
        "repeatable" => true,
        _ => return statement.unexpected("`once` or `repeatable`"),
    };
    Ok(Route {
        name,
        ingress: index,
        host: None,
        method,
        path,
        is_path_prefix,
        target,
        is_idempotent,
        deadline_ms: DEFAULT_DEADLINE_MS,
        prompt_prefix: None,
        prompt_parts: None,
        prompt_size: None,
        homes: Vec::new(),
        urgency: None,
        max_attempts: None,
        latency_slo_ms: None,
        is_public: false,
        is_resumable: false,
        is_streaming: false,
    })
}

/// A method; `None` stands for any.
fn parse_method(statement: &mut Statement) -> Parsed<Option<String>> {
    let method = statement.word("a method or `any`")?;
    match method.as_str() {
        "any" => Ok(None),
        name if METHODS.contains(&name) => Ok(Some(method)),
        _ => statement.unexpected(format!("{} or any", METHODS.join(", "))),
    }
}

/// A path without the `*` at its end, and whether there was one.
fn parse_route_path(statement: &mut Statement, ingress: &Ingress) -> Parsed<(String, bool)> {
    let written = statement.path()?;
    let path = written.trim_end_matches('*');
    if !path.starts_with(&ingress.path_prefix) || path.contains('*') {
        return statement.unexpected(format!(
            "a path below {} with one * at most, at its end",
            ingress.path_prefix
        ));
    }
    Ok((path.to_string(), written.ends_with('*')))
}

fn parse_target(statement: &mut Statement, ingress: &Ingress) -> Parsed<Target> {
    const EXPECTED: &str = "`model`, `service` or `split`";
    statement.keyword("to")?;
    match statement.word(EXPECTED)?.as_str() {
        "model" if ingress.model_source.is_some() => Ok(Target::Model),
        "model" => statement.error(CompileErrorKind::NoModelSource(ingress.name.clone())),
        "service" => Ok(Target::Service(statement.name()?)),
        "split" => Ok(Target::Split(parse_split(statement)?)),
        _ => statement.unexpected(EXPECTED),
    }
}

/// Services with their shares, up to `once` or `repeatable`.
fn parse_split(statement: &mut Statement) -> Parsed<Vec<WeightedService>> {
    let mut services: Vec<WeightedService> = Vec::new();
    let is_share = |word: &str| !matches!(word, "once" | "repeatable");
    while statement.peek().is_some_and(is_share) {
        let service = statement.name()?;
        if services.iter().any(|other| other.service == service) {
            return statement.error(CompileErrorKind::DuplicateShare(service));
        }
        let weight = match statement.word("a share")?.parse() {
            Ok(weight) if weight <= MAX_WEIGHT => weight,
            _ => return statement.unexpected(format!("a share from 0 to {MAX_WEIGHT}")),
        };
        services.push(WeightedService { service, weight });
    }
    match services.iter().any(|service| service.weight > 0) {
        true => Ok(services),
        false => statement.error_at_next(CompileErrorKind::NoShares),
    }
}

fn parse_clause(statement: &mut Statement, route: &mut Route) -> Parsed<()> {
    match statement.word("a clause")?.as_str() {
        "deadline" => route.deadline_ms = statement.duration_ms()?,
        "prefix" => {
            route.prompt_prefix = Some(PromptPrefix {
                source: statement.source()?,
                max_bytes: statement.count("a length", MAX_PREFIX_BYTES)?,
            });
        }
        "host" => route.host = Some(statement.quoted("a host's name")?),
        "parts" => route.prompt_parts = Some(statement.head_source()?),
        "size" => route.prompt_size = Some(statement.head_source()?),
        "homes" => {
            let homes = statement.quoted("regions with commas between")?;
            let region = |home: &str| home.trim().to_string();
            route.homes = homes.split(',').map(region).collect();
        }
        "urgency" => route.urgency = Some(statement.count("an urgency", MAX_URGENCY)? as u8 - 1),
        "rounds" => route.max_attempts = Some(statement.count("a count", MAX_ATTEMPTS)? as u32),
        "aim" => route.latency_slo_ms = Some(statement.duration_ms()?),
        "public" => route.is_public = true,
        "resume" => route.is_resumable = true,
        "stream" => route.is_streaming = true,
        _ => {
            return statement.unexpected(
                "deadline, prefix, host, parts, size, homes, urgency, rounds, aim, public, \
                 resume or stream",
            )
        }
    }
    Ok(())
}
