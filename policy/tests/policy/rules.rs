//! Rules with each source of keys.

use policy::{compile, Program};

const RULES: &str = r#"
# Four doors, each with its own source of key and model.
door app   at "/app/"   tenant header "X-Tenant-Key"  model header "x-model"
door chat  at "/chat/"  tenant bearer                 model body "options.model"
door shop  at "/shop/"  tenant segment 2
door forms at "/forms/" tenant body "key"             model query "model"

route rewrite on app   POST "/app/rewrite" to model           once       deadline 60s prefix body "prompt" 8
route ask     on chat  POST "/chat/*"      to model           repeatable prefix header "x-talk" 4
route thumb   on shop  GET  "/shop/*"      to service thumbs  repeatable deadline 250ms
route form    on forms any  "/forms/send"  to model           once
set fill 75%
set fresh 30s
set expire 2m
"#;

pub fn program() -> Program {
    compile(RULES).expect("the fixture compiles")
}
