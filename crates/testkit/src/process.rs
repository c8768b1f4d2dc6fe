//! Processes that a test starts, signals and kills.

use std::ffi::OsStr;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::OnceLock;

/// Signals that a test can send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Asks the process to terminate.
    Terminate,
    /// Freezes the process.
    Stop,
    /// Resumes a frozen process.
    Continue,
    /// Tells the process to reload its settings.
    Reload,
}

impl Signal {
    const fn flag(self) -> &'static str {
        match self {
            Self::Terminate => "-TERM",
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
            Self::Reload => "-HUP",
        }
    }
}

/// A child process, killed when the value is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts a binary of this Cargo workspace. Its standard error goes to `log`, its standard
    /// output to the same path with the extension `.out`.
    ///
    /// # Errors
    ///
    /// Returns the error of the build, of the log file or of starting the process.
    pub fn start<I>(binary: &str, name: &str, args: I, log: &Path) -> io::Result<Self>
    where
        I: IntoIterator,
        I::Item: AsRef<OsStr>,
    {
        let program = binaries()?.join(binary);
        let output = std::fs::File::create(log.with_extension("out"))?;
        let log = std::fs::File::create(log)?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            name: name.to_owned(),
            child,
        })
    }

    /// Name given at the start.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Returns the error of the `kill` command, or an error if the process is not running.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([signal.flag(), &pid]).status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other(format!("{} is not running", self.name)))
        }
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns the error of killing or waiting.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Whether the process has exited.
    ///
    /// # Errors
    ///
    /// Returns the error of the query.
    pub fn has_ended(&mut self) -> io::Result<bool> {
        Ok(self.child.try_wait()?.is_some())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.kill();
    }
}

/// Folder of this Cargo workspace's binaries, which are built once per run.
///
/// # Errors
///
/// Returns the error of the build.
pub fn binaries() -> io::Result<&'static Path> {
    static FOLDER: OnceLock<Result<PathBuf, String>> = OnceLock::new();
    let folder = FOLDER.get_or_init(|| build().map_err(|err| err.to_string()));
    match folder {
        Ok(folder) => Ok(folder),
        Err(err) => Err(io::Error::other(err.as_str())),
    }
}

fn build() -> io::Result<PathBuf> {
    let is_release = !cfg!(debug_assertions);
    let mut cargo = Command::new(env!("CARGO"));
    cargo.args(["build", "--quiet", "--workspace", "--bins", "--locked"]);
    if is_release {
        cargo.arg("--release");
    }
    cargo.current_dir(env!("CARGO_MANIFEST_DIR"));
    if !cargo.status()?.success() {
        return Err(io::Error::other("the binaries cannot be built"));
    }
    profile_folder()
}

/// Returns the nearest folder above the running program that contains the product's binary. The
/// program itself is in that folder, or in `deps` or `examples` below it.
fn profile_folder() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let holds_product = |dir: &&Path| dir.join("citronhollow").is_file();
    program
        .ancestors()
        .skip(1)
        .find(holds_product)
        .map(Path::to_path_buf)
        .ok_or_else(|| io::Error::other("no folder above the running program contains the binary citronhollow; start it from Cargo's build folder"))
}
