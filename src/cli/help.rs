//! The help of one command, cut out of the help of all.

use std::ffi::OsString;

/// Starts the heading of a command's help.
const HEADING: &str = "chervilwind ";
/// Separates the program's own help from that of its commands.
const COMMANDS: &str = "SUBCOMMANDS:\n";

/// Returns the help for the arguments given: of one command, or of the program with a list
/// of its commands.
pub(crate) fn help_for(args: &[OsString], all: &str) -> String {
    let (program, commands) = all.split_once(COMMANDS).unwrap_or((all, ""));
    let sections = split_sections(commands);
    let named = args.iter().find_map(|a| {
        let name = a.to_str()?;
        sections.iter().find(|s| command_of(s) == name)
    });
    match named {
        Some(section) => format!("{}\n", section.trim_end()),
        None => program_help(program, &sections),
    }
}

fn program_help(program: &str, sections: &[String]) -> String {
    let mut help = format!("{program}COMMANDS (`chervilwind COMMAND --help` tells more):\n");
    for section in sections {
        let first = section.lines().nth(1).unwrap_or_default();
        help += &format!("    {:<10}{}\n", command_of(section), first.trim());
    }
    help
}

fn split_sections(commands: &str) -> Vec<String> {
    let mut sections: Vec<String> = Vec::new();
    for line in commands.lines() {
        if line.starts_with(HEADING) {
            sections.push(String::new());
        }
        if let Some(section) = sections.last_mut() {
            section.push_str(line);
            section.push('\n');
        }
    }
    sections
}

fn command_of(section: &str) -> &str {
    let heading = section.lines().next().unwrap_or_default();
    heading.strip_prefix(HEADING).unwrap_or_default().trim()
}
