//! The compiler: a text of rules to a program, with every error and its place.

use crate::error::{CompileError, CompileErrorKind, Parsed};
use crate::parser::{parse_ingress, parse_route, parse_set_point, Statement};
use crate::route_index::RouteIndex;
use crate::{Ingress, Program, Route, SetPoints};

/// What the lines so far have declared.
#[derive(Default)]
struct Declarations {
    ingresses: Vec<Ingress>,
    routes: Vec<Route>,
    route_index: RouteIndex,
    set_points: SetPoints,
}

impl Declarations {
    fn add_line(&mut self, line: usize, text: &str) -> Parsed<()> {
        let mut statement = Statement::split(line, text)?;
        if statement.is_empty() {
            return Ok(());
        }
        match statement.word("a statement")?.as_str() {
            "door" => {
                let ingress = parse_ingress(&mut statement, &self.ingresses)?;
                self.ingresses.push(ingress);
            }
            "route" => {
                let route = parse_route(&mut statement, &self.ingresses, &self.route_index)?;
                self.route_index.add(&route);
                self.routes.push(route);
            }
            "set" => parse_set_point(&mut statement, &mut self.set_points)?,
            _ => return statement.unexpected("door, route or set"),
        }
        statement.end()
    }
}

/// Compiles a text of rules.
///
/// ```text
/// text      = { line }
/// line      = [ door | route | set ] [ "#" comment ]
/// door      = "door" NAME "at" "/PATH/" "tenant" source [ "model" source ]
/// route     = "route" NAME "on" DOOR method "/PATH" "to" target ( "once" | "repeatable" )
///             { clause }
/// set       = "set" ( ( "fill" | "retries" ) PERCENT | ( "fresh" | "expire" ) TIME )
/// source    = "header" QUOTED | "bearer" | "segment" COUNT | "query" QUOTED | "body" QUOTED
/// method    = "GET" | "HEAD" | "POST" | "PUT" | "PATCH" | "DELETE" | "any"
/// target    = "model" | "service" NAME | "split" NAME SHARE { NAME SHARE }
/// clause    = "deadline" TIME | "prefix" source COUNT | "host" QUOTED | "parts" source
///           | "size" source | "homes" QUOTED | "urgency" COUNT | "rounds" COUNT
///           | "aim" TIME | "public" | "stream" | "resume"
/// ```
///
/// Paths and QUOTED stand in double quotes; TIME is a whole number with `ms`, `s`, `m` or
/// `h`, PERCENT a whole number with `%`.
///
/// # Errors
/// Each wrong line's first error, in the order of the lines; the text is compiled as a
/// whole or not at all.
pub fn compile(text: &str) -> Result<Program, Vec<CompileError>> {
    let mut declarations = Declarations::default();
    let mut errors = Vec::new();
    for (line, text) in (1..).zip(text.lines()) {
        if let Err(error) = declarations.add_line(line, text) {
            errors.push(error);
        }
    }
    let Declarations {
        ingresses,
        routes,
        set_points,
        ..
    } = declarations;
    if set_points.fresh_ms > set_points.expire_ms {
        errors.push(CompileError {
            line: 1,
            column: 1,
            kind: CompileErrorKind::FreshLongerThanExpire,
        });
    }
    match errors.is_empty() {
        true => Ok(Program::new(ingresses, routes, set_points)),
        false => Err(errors),
    }
}
