_tarragonctl() {
  local word=${COMP_WORDS[COMP_CWORD]} command=${COMP_WORDS[1]-}
  if ((COMP_CWORD == 1)); then
    COMPREPLY=($(compgen -W "base adapter upstream urgency drain store-budget apply quarantine list status explain keys completion" -- "$word"))
    return
  fi
  case $command in
    apply) COMPREPLY=($(compgen -f -W "--yes" -- "$word")) ;;
    status) COMPREPLY=($(compgen -W "--json --wait --timeout-s" -- "$word")) ;;
    quarantine) COMPREPLY=($(compgen -W "list release" -- "$word")) ;;
    drain) COMPREPLY=($(compgen -W "--undo --expect" -- "$word")) ;;
    store-budget) COMPREPLY=($(compgen -W "--loads-per-s --at-once --in-flight --expect" -- "$word")) ;;
    upstream) COMPREPLY=($(compgen -W "--kind --group --address --zone --slots --batch --checks-fencing --expect" -- "$word")) ;;
    explain) COMPREPLY=($(compgen -f -- "$word")) ;;
    keys) COMPREPLY=($(compgen -f -W "--out --role --days --new-authority host operator read-only" -- "$word")) ;;
    completion) COMPREPLY=($(compgen -W "bash zsh fish" -- "$word")) ;;
  esac
}
complete -F _tarragonctl tarragonctl
