set -l commands base adapter upstream urgency drain store-budget apply quarantine list status explain keys completion
complete -c tarragonctl -f -n "not __fish_seen_subcommand_from $commands" -a "$commands"
complete -c tarragonctl -F -n "__fish_seen_subcommand_from apply" -l yes
complete -c tarragonctl -f -n "__fish_seen_subcommand_from status" -l json -l wait -l timeout-s
complete -c tarragonctl -f -n "__fish_seen_subcommand_from quarantine" -a "list release"
complete -c tarragonctl -f -n "__fish_seen_subcommand_from drain" -l undo -l expect
complete -c tarragonctl -F -n "__fish_seen_subcommand_from explain"
complete -c tarragonctl -F -n "__fish_seen_subcommand_from keys" -l out -l role -l days -l new-authority
complete -c tarragonctl -f -n "__fish_seen_subcommand_from completion" -a "bash zsh fish"
