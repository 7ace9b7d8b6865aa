//! The configuration file, which is read and validated as a whole at start and at each SIGHUP.

mod diagnostics;
mod document;
mod human_readable;
mod parse;
mod reload_check;
mod schema;
mod source_spans;

use crate::endpoint_list::EndpointList;
pub use diagnostics::{DiagnosticCounts, Diagnostics};
pub use document::{Limits, MembershipConfig};
use oakport_core::settings_wire::ParsedSettings;
use parse::ParsedFile;
use serde_json::Value;
use source_spans::SourceSpans;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Environment variable with the path of the configuration file, used if the command line does not name one.
const CONFIG_VARIABLE: &str = "RELAY_CONFIG";
/// Environment variable with the address of the admin endpoint; overrides the `operator` key of the file.
const ADMIN_ADDRESS_VARIABLE: &str = "RELAY_OPERATOR";

/// A valid configuration.
#[derive(Debug)]
pub struct Config {
    /// Address that clients connect to.
    pub listen: SocketAddr,
    /// Address that the endpoint list is polled from.
    pub discovery: SocketAddr,
    /// Address of the admin endpoint (`operator` in the file). `None`: there is no admin endpoint.
    pub admin_address: Option<SocketAddr>,
    /// The name of this client proxy, if configured.
    pub name: Option<String>,
    /// Membership in a fleet of client proxies (`peers` in the file). `None`: the process does not join one.
    pub membership: Option<MembershipConfig>,
    /// Seed of the random numbers in balancing decisions.
    pub seed: u64,
    /// Resource limits of the process.
    pub limits: Limits,
    pub(crate) known: Option<EndpointList>,
    /// The settings, for the balancer and for the sockets.
    pub settings: ParsedSettings,
    /// Keys that are missing in the file, in dotted notation, with their default values.
    pub defaulted: Vec<(String, Value)>,
    path: PathBuf,
    /// The content of the file without defaults; a reloaded file is compared with it.
    given: Value,
}

/// The result of checking a file.
#[derive(Debug)]
pub struct Checked {
    /// The configuration; `None` if there is an error.
    pub config: Option<Config>,
    /// All errors and warnings.
    pub diagnostics: Diagnostics,
}

impl Config {
    /// Reads the given file or else the one that `$RELAY_CONFIG` names: TOML if its name ends in `.toml`, else JSON.
    /// `$RELAY_OPERATOR`, if set, overrides its `operator`.
    ///
    /// # Errors
    /// All errors of the file, each with its position.
    pub fn read(path: Option<&Path>) -> Result<Self, Diagnostics> {
        let path = path.map(Path::to_owned).or_else(|| std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from));
        let Some(path) = path else {
            let problem = "RELAY_CONFIG is not set; name the file with --config FILE";
            return Err(Diagnostics::without_position("configuration", problem));
        };
        let source = SourceFile::read(&path)?;
        let mut config = source.parse()?;
        // The environment belongs to one process; the file may be shared by several.
        if let Ok(address) = std::env::var(ADMIN_ADDRESS_VARIABLE) {
            let parsed = address.parse().map_err(|error| {
                Diagnostics::without_position(ADMIN_ADDRESS_VARIABLE, format!("{address}: {error}"))
            })?;
            config.admin_address = Some(parsed);
        }
        Ok(config)
    }

    /// Reads a file as [`Config::read`] does, and also reports keys that have no effect.
    pub fn check(path: &Path) -> Checked {
        let read = SourceFile::read(path).and_then(|source| Ok((source.parse()?, source)));
        match read {
            Ok((config, source)) => {
                let diagnostics = source.warnings(&config.given);
                Checked { config: Some(config), diagnostics }
            }
            Err(diagnostics) => Checked { config: None, diagnostics },
        }
    }

    /// The JSON schema of the file.
    pub fn schema() -> Value {
        schema::schema(false).to_value()
    }

    /// Reads the file again.
    ///
    /// # Errors
    /// All errors of the file, or a key of this configuration that the file now lacks.
    pub fn reload(&self) -> Result<Self, Diagnostics> {
        let mut next = Config::read(Some(&self.path))?;
        // After the start, the endpoint list only comes from discovery.
        next.known = None;
        match reload_check::missing_key(&self.given, &next.given) {
            Some(key) => {
                let problem =
                    format!("{key} is missing, but set in the configuration in force; add it again");
                Err(Diagnostics::without_position(&self.path.display().to_string(), problem))
            }
            None => Ok(next),
        }
    }

    fn new(path: &Path, file: ParsedFile) -> Self {
        Config {
            listen: file.listen,
            discovery: file.discovery,
            admin_address: file.admin_address,
            name: file.name,
            membership: file.membership,
            seed: file.seed,
            limits: file.limits,
            known: file.known,
            settings: file.settings,
            defaulted: file.defaulted,
            path: path.to_owned(),
            given: file.given,
        }
    }
}

/// The text of a configuration file.
struct SourceFile<'a> {
    path: &'a Path,
    name: String,
    text: String,
    /// TOML if true, else JSON.
    human_readable: bool,
}

impl<'a> SourceFile<'a> {
    fn read(path: &'a Path) -> Result<Self, Diagnostics> {
        let name = path.display().to_string();
        let error = |problem: String| Diagnostics::without_position(&name, problem);
        let bytes = std::fs::read(path).map_err(|e| error(format!("cannot be read: {e}")))?;
        let text = String::from_utf8(bytes).map_err(|e| {
            let byte = e.utf8_error().valid_up_to();
            error(format!("invalid UTF-8 at byte {byte}"))
        })?;
        let human_readable = path.extension().is_some_and(|extension| extension == "toml");
        Ok(SourceFile { path, name, text, human_readable })
    }

    fn parse(&self) -> Result<Config, Diagnostics> {
        let file = parse::parse(&self.name, &self.text, self.human_readable)?;
        Ok(Config::new(self.path, file))
    }

    /// Warnings about keys without effect in a valid file. In the human-readable form such a key is an error.
    fn warnings(&self, given: &Value) -> Diagnostics {
        let mut found = if self.human_readable { Vec::new() } else { schema::validate(given, false) };
        found.retain(|diagnostic| diagnostic.is_warning);
        Diagnostics::new(&self.name, &self.text, found, &SourceSpans::json(&self.text))
    }
}

#[cfg(test)]
mod tests;
